package artifact

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"dapplefront/build"
)

// Source says where files are fetched from: mirrors that serve each file at /sha256/DIGEST.
type Source struct {
	Mirrors           []string      `json:"mirrors"`           // base URLs
	MaxBytesPerSecond int           `json:"maxBytesPerSecond"` // over all files; 0 for no limit
	MaxAttempts       int           `json:"maxAttempts"`       // of one file, over all mirrors; one that brings new bytes doesn't count
	Backoff           time.Duration `json:"backoff"`           // after the first failed attempt; it doubles with each further one
	IdleTimeout       time.Duration `json:"idleTimeout"`       // without a byte, after which an attempt has failed
	Client            *http.Client  `json:"-"`                 // nil for a default one
}

const (
	chunkBytes          = 64 << 10 // written at once
	maxBackoffDoublings = 6
	versionSuffix       = ".etag" // of the file beside a part that holds its mirror and entity tag
)

// partDigest returns the digest that the name of a file in the folder of parts bears.
func partDigest(name string) string { return strings.TrimSuffix(name, versionSuffix) }

// Fetcher fetches files into a store. It is safe for concurrent use.
type Fetcher struct {
	store   *Store
	source  Source
	limiter *rate.Limiter // nil for no limit

	mu      sync.Mutex
	mirrors []string // the one that failed last is the last
	fetched int64    // bytes
}

// NewFetcher returns a fetcher into this store.
func (s *Store) NewFetcher(source Source) *Fetcher {
	if source.Client == nil {
		source.Client = &http.Client{}
	}
	f := &Fetcher{store: s, source: source, mirrors: slices.Clone(source.Mirrors)}
	if source.MaxBytesPerSecond > 0 {
		f.limiter = rate.NewLimiter(rate.Limit(source.MaxBytesPerSecond), max(source.MaxBytesPerSecond, chunkBytes))
	}
	return f
}

// FetchedBytes is the number of bytes that were received so far.
func (f *Fetcher) FetchedBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetched
}

// Fetch fetches all files of a build that are not in the store. A part of an earlier attempt is resumed. The error names
// the file; parts stay for the next attempt, unless their content is wrong or the disk is full.
func (f *Fetcher) Fetch(ctx context.Context, m *build.Manifest) error {
	for _, file := range m.Files {
		if f.store.Has(file) {
			continue
		}
		if err := f.fetchFile(ctx, file); err != nil {
			return fmt.Errorf("fetching %s: %w", file.Path, err)
		}
	}
	return nil
}

// fetchFile fetches one file, from one mirror after the other. An attempt that brought new bytes doesn't count.
func (f *Fetcher) fetchFile(ctx context.Context, file build.File) error {
	var last error
	for failures := 0; failures < max(1, f.source.MaxAttempts); {
		mirror := f.preferredMirror()
		before := f.partBytes(file)
		err := f.fetchFrom(ctx, mirror, file)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, ErrFull) || errors.Is(err, syscall.ENOSPC) {
			f.removePart(file) // the running build needs the space more
			return err
		}
		last = fmt.Errorf("%s: %w", mirror, err)
		f.demote(mirror)
		if f.partBytes(file) <= before {
			failures++
		}
		if err := backOff(ctx, f.source.Backoff, failures); err != nil {
			return err
		}
	}
	return last
}

// fetchFrom downloads what is missing of a file from one mirror and commits it.
func (f *Fetcher) fetchFrom(ctx context.Context, mirror string, file build.File) error {
	if err := f.download(ctx, mirror, file); err != nil {
		return err
	}
	if err := f.store.commit(file); err != nil {
		return err
	}
	_ = os.Remove(f.versionPath(file))
	return nil
}

// backOff waits for d, doubled with each failure, with jitter, so that hosts don't come back all at once.
func backOff(ctx context.Context, d time.Duration, failures int) error {
	d <<= min(failures, maxBackoffDoublings)
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d/2 + rand.N(d)):
		return nil
	}
}

// preferredMirror returns the mirror that has not failed for the longest time.
func (f *Fetcher) preferredMirror() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrors[0]
}

// demote makes a mirror that failed the last choice.
func (f *Fetcher) demote(mirror string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.mirrors, mirror); i >= 0 {
		f.mirrors = append(slices.Delete(f.mirrors, i, i+1), mirror)
	}
}

func (f *Fetcher) partPath(file build.File) string    { return f.store.partPath(file.SHA256) }
func (f *Fetcher) versionPath(file build.File) string { return f.partPath(file) + versionSuffix }

// partBytes is the size of what was fetched of a file in earlier attempts.
func (f *Fetcher) partBytes(file build.File) int64 {
	info, err := os.Stat(f.partPath(file))
	if err != nil {
		return 0
	}
	return info.Size()
}

func (f *Fetcher) removePart(file build.File) {
	_ = os.Remove(f.partPath(file))
	_ = os.Remove(f.versionPath(file))
}
