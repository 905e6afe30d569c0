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

// Source configures where files are fetched from: mirrors that serve each file at /sha256/DIGEST.
type Source struct {
	Mirrors           []string      `json:"mirrors"`           // base URLs
	MaxBytesPerSecond int           `json:"maxBytesPerSecond"` // limit on the download rate over all files; 0 means no limit
	MaxAttempts       int           `json:"maxAttempts"`       // failed attempts for a file, over all mirrors, after which its fetch fails; an attempt that received new bytes doesn't count
	Backoff           time.Duration `json:"backoff"`           // base delay after a failed attempt; it is doubled for each one that counts towards MaxAttempts
	IdleTimeout       time.Duration `json:"idleTimeout"`       // time without received bytes after which an attempt fails
	Client            *http.Client  `json:"-"`                 // nil means a default client
}

const (
	chunkBytes          = 64 << 10 // bytes read and written at a time
	maxBackoffDoublings = 6
	etagSuffix          = ".etag" // of the file that holds the mirror and entity tag of a partial file
)

// partDigest returns the digest in the name of a file in partDir.
func partDigest(name string) string { return strings.TrimSuffix(name, etagSuffix) }

// Fetcher fetches files into a store. It is safe for concurrent use.
type Fetcher struct {
	store   *Store
	source  Source
	limiter *rate.Limiter // nil if the rate is not limited

	mu      sync.Mutex
	mirrors []string // the mirror that failed most recently is last
	fetched int64    // bytes received so far
}

// NewFetcher returns a fetcher that adds files to this store.
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

// FetchedBytes returns the number of bytes received so far.
func (f *Fetcher) FetchedBytes() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetched
}

// Fetch fetches all files of a build that are not in the store. It resumes partial files of earlier attempts. The error
// names the file. A partial file is kept for the next attempt unless its content is wrong, or the store or the disk is
// full.
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

// fetchFile fetches one file and switches to the next mirror after each failed attempt. An attempt that received new
// bytes doesn't count towards MaxAttempts.
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
			f.removePart(file) // free the space for the running build
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

// fetchFrom downloads the missing bytes of a file from one mirror and commits the file.
func (f *Fetcher) fetchFrom(ctx context.Context, mirror string, file build.File) error {
	if err := f.download(ctx, mirror, file); err != nil {
		return err
	}
	if err := f.store.commit(file); err != nil {
		return err
	}
	_ = os.Remove(f.etagPath(file))
	return nil
}

// backOff waits for the base delay d, doubled for each failure. Jitter spreads the retries of different hosts.
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

// preferredMirror returns the mirror whose last failure was the longest time ago.
func (f *Fetcher) preferredMirror() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirrors[0]
}

// demote moves a mirror that failed to the end of the list.
func (f *Fetcher) demote(mirror string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.mirrors, mirror); i >= 0 {
		f.mirrors = append(slices.Delete(f.mirrors, i, i+1), mirror)
	}
}

func (f *Fetcher) partPath(file build.File) string { return f.store.partPath(file.SHA256) }
func (f *Fetcher) etagPath(file build.File) string { return f.partPath(file) + etagSuffix }

// partBytes returns the size of the partial file that earlier attempts have fetched.
func (f *Fetcher) partBytes(file build.File) int64 {
	info, err := os.Stat(f.partPath(file))
	if err != nil {
		return 0
	}
	return info.Size()
}

func (f *Fetcher) removePart(file build.File) {
	_ = os.Remove(f.partPath(file))
	_ = os.Remove(f.etagPath(file))
}
