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

// maxKeyRingUpdates bounds how many versions are caught up with before one fetch.
const maxKeyRingUpdates = 100

func (a *Agent) keyRingFile() string { return filepath.Join(a.config.Dir, "ring.json") }

// loadKeyRing returns the configured key ring, or a later one that was saved.
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

// updateKeyRing fetches later key rings, one version after the other, each signed by the keys of the one before. A mirror
// that has none, or an invalid one, changes nothing.
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

// fetchNextKeyRing returns the key ring that follows the present one, from the first mirror with a valid one, and saves
// it; nil if no mirror has one.
func (a *Agent) fetchNextKeyRing(ctx context.Context, present *build.KeyRing) *build.KeyRing {
	path := "/ring/" + strconv.Itoa(present.Version+1)
	for _, mirror := range a.config.Source.Mirrors {
		raw, err := a.get(ctx, mirror, path)
		if err != nil {
			continue
		}
		next, err := a.acceptKeyRing(ctx, present, mirror, path, raw)
		if err != nil {
			a.log.Warn("key ring rejected", "version", present.Version+1, "error", err)
			continue
		}
		return next
	}
	return nil
}

// acceptKeyRing verifies the signatures of a key ring that a mirror served, and saves it.
func (a *Agent) acceptKeyRing(ctx context.Context, present *build.KeyRing, mirror, path string, raw []byte) (*build.KeyRing, error) {
	text, err := a.get(ctx, mirror, path+".sigs")
	if err != nil {
		return nil, err
	}
	signatures, err := readSignatures(text)
	if err != nil {
		return nil, err
	}
	next, err := present.Next(raw, signatures, time.Now())
	if err != nil {
		return nil, err
	}
	return next, atomicfile.Write(a.keyRingFile(), raw, 0o600)
}
