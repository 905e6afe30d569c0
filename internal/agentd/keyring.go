package agentd

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"dapplefront/build"
	"dapplefront/internal/atomicfile"
)

// maxKeyRingUpdates bounds the number of later key ring versions that are fetched before one fetch of a build.
const maxKeyRingUpdates = 100

func (a *Agent) keyRingFile() string { return filepath.Join(a.config.Dir, "ring.json") }

// loadKeyRing returns the saved key ring if it is for the same host group as the configured one and of a later version,
// otherwise the configured one.
func (a *Agent) loadKeyRing() *build.KeyRing {
	raw, err := os.ReadFile(a.keyRingFile())
	if err != nil {
		return a.config.KeyRing
	}
	saved, err := build.ReadKeyRing(raw)
	if err != nil || saved.Version <= a.config.KeyRing.Version || saved.Group != a.config.KeyRing.Group {
		return a.config.KeyRing
	}
	return saved
}

func (a *Agent) currentKeyRing() *build.KeyRing {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keyRing
}

// updateKeyRing fetches later key rings one version at a time; each must be signed by keys of the previous version.
// Mirrors without a later key ring, or with an invalid one, are skipped.
func (a *Agent) updateKeyRing(ctx context.Context) {
	for range maxKeyRingUpdates {
		next := a.fetchNextKeyRing(ctx, a.currentKeyRing())
		if next == nil {
			return
		}
		a.log.Info("key ring updated", "version", next.Version, "keys", len(next.Keys), "minVersion", next.MinVersion)
		a.mu.Lock()
		a.keyRing = next
		a.mu.Unlock()
	}
}

// fetchNextKeyRing fetches the version after the current key ring from the first mirror with a valid one, saves it and
// returns it. It returns nil if no mirror has one.
func (a *Agent) fetchNextKeyRing(ctx context.Context, current *build.KeyRing) *build.KeyRing {
	path := "/ring/" + strconv.Itoa(current.Version+1)
	for _, mirror := range a.config.Source.Mirrors {
		raw, err := a.get(ctx, mirror, path)
		if err != nil {
			continue
		}
		next, err := a.acceptKeyRing(ctx, current, mirror, path, raw)
		if err != nil {
			a.log.Warn("key ring rejected", "version", current.Version+1, "error", err)
			continue
		}
		return next
	}
	return nil
}

// acceptKeyRing verifies a key ring from a mirror by its signatures and saves it.
func (a *Agent) acceptKeyRing(ctx context.Context, current *build.KeyRing, mirror, path string, raw []byte) (*build.KeyRing, error) {
	text, err := a.get(ctx, mirror, path+".sigs")
	if err != nil {
		return nil, err
	}
	signatures, err := readSignatures(text)
	if err != nil {
		return nil, err
	}
	next, err := current.Next(raw, signatures, time.Now())
	if err != nil {
		return nil, err
	}
	return next, atomicfile.Write(a.keyRingFile(), raw, 0o600)
}
