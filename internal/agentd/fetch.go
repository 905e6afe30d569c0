package agentd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/atomicfile"
)

// maxBackoffDoublings bounds how often the backoff between attempts to fetch a manifest is doubled.
const maxBackoffDoublings = 6

func (a *Agent) manifestFile(digest string) string {
	return filepath.Join(a.config.Dir, manifestDir, digest+".json")
}

func (a *Agent) signaturesFile(digest string) string {
	return filepath.Join(a.config.Dir, manifestDir, digest+".sigs")
}

// fetch fetches the manifest and its signatures and, if the signatures are valid, the files.
func (a *Agent) fetch(ctx context.Context, e agent.Fetch) {
	a.updateKeyRing(ctx)
	if err := a.fetchBuild(ctx, e); err != nil {
		a.submitFailure(ctx, e.Digest, err)
		return
	}
	a.submitUnlessCanceled(ctx, agent.Fetched{Digest: e.Digest})
}

func (a *Agent) fetchBuild(ctx context.Context, e agent.Fetch) error {
	if err := a.fetchManifest(ctx, e.Digest); err != nil {
		return err
	}
	m, err := a.verifiedManifest(e.Digest, e.AllowBelowMinVersion)
	if err != nil {
		return err
	}
	return a.fetcher.Fetch(ctx, m)
}

// fetchManifest fetches a manifest and its signatures from the first mirror that has them. Each attempt tries all
// mirrors.
func (a *Agent) fetchManifest(ctx context.Context, digest string) error {
	if raw, err := os.ReadFile(a.manifestFile(digest)); err == nil && build.Digest(raw) == digest {
		return nil
	}
	var last error
	for attempt := range max(1, a.config.Source.MaxAttempts) {
		for _, mirror := range a.config.Source.Mirrors {
			err := a.fetchManifestFrom(ctx, mirror, digest)
			if err == nil {
				return nil
			}
			last = fmt.Errorf("manifest from %s: %w", mirror, err)
		}
		if !sleep(ctx, a.config.Source.Backoff<<min(attempt, maxBackoffDoublings)) {
			return ctx.Err()
		}
	}
	return last
}

// fetchManifestFrom fetches a manifest and its signatures from one mirror. It saves the signatures before the manifest,
// so that every manifest on disk has its signatures.
func (a *Agent) fetchManifestFrom(ctx context.Context, mirror, digest string) error {
	raw, err := a.get(ctx, mirror, "/manifest/"+digest)
	if err != nil {
		return err
	}
	if build.Digest(raw) != digest {
		return errors.New("another manifest came")
	}
	signatures, err := a.get(ctx, mirror, "/signatures/"+digest)
	if err != nil {
		return err
	}
	if err := atomicfile.Write(a.signaturesFile(digest), signatures, 0o600); err != nil {
		return err
	}
	return atomicfile.Write(a.manifestFile(digest), raw, 0o600)
}

// get fetches a small file from a mirror.
func (a *Agent) get(ctx context.Context, mirror, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, max(a.config.Source.IdleTimeout, time.Second))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(mirror, "/")+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := a.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, build.MaxManifestBytes+1))
}

// verify verifies the signatures and all files of a build, and installs it. After a failure it removes the manifest
// and the signatures, so that the next fetch downloads them again.
func (a *Agent) verify(ctx context.Context, e agent.Verify) {
	if err := a.verifyBuild(e); err != nil {
		_ = os.Remove(a.signaturesFile(e.Digest))
		_ = os.Remove(a.manifestFile(e.Digest))
		a.submitFailure(ctx, e.Digest, err)
		return
	}
	a.submitUnlessCanceled(ctx, agent.Verified{Digest: e.Digest})
}

func (a *Agent) verifyBuild(e agent.Verify) error {
	m, err := a.verifiedManifest(e.Digest, e.AllowBelowMinVersion)
	if err != nil {
		return err
	}
	if err := a.store.Verify(m); err != nil {
		return err
	}
	_, err = a.store.Install(e.Digest, m)
	return err
}

// verifiedManifest reads a fetched manifest and verifies its signatures with the current key ring.
func (a *Agent) verifiedManifest(digest string, allowBelowMinVersion bool) (*build.Manifest, error) {
	raw, err := os.ReadFile(a.manifestFile(digest))
	if err != nil {
		return nil, err
	}
	if build.Digest(raw) != digest {
		return nil, errors.New("the manifest is not the one that was ordered")
	}
	text, err := os.ReadFile(a.signaturesFile(digest))
	if err != nil {
		return nil, err
	}
	signatures, err := readSignatures(text)
	if err != nil {
		return nil, fmt.Errorf("signatures: %w", err)
	}
	m, _, err := a.currentKeyRing().Verify(raw, signatures, time.Now(), allowBelowMinVersion)
	return m, err
}

// readManifest reads the manifest of a build that was verified earlier. It doesn't check the signatures again.
func (a *Agent) readManifest(digest string) (*build.Manifest, error) {
	raw, err := os.ReadFile(a.manifestFile(digest))
	if err != nil {
		return nil, err
	}
	return build.ReadManifest(raw)
}

// readSignatures reads the JSON list of signatures that mirrors serve.
func readSignatures(raw []byte) ([][]byte, error) {
	var texts []string
	if err := json.Unmarshal(raw, &texts); err != nil {
		return nil, err
	}
	signatures := make([][]byte, len(texts))
	for i, s := range texts {
		signatures[i] = []byte(s)
	}
	return signatures, nil
}
