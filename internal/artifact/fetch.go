package artifact

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// Source is where files come from: mirrors that serve each file at /sha256/DIGEST.
type Source struct {
	Mirrors           []string      `json:"mirrors"`           // base URLs
	MaxBytesPerSecond int           `json:"maxBytesPerSecond"` // over all files; 0 for no limit
	MaxAttempts       int           `json:"maxAttempts"`       // of one file, over all mirrors; one that brings new bytes doesn't count
	Backoff           time.Duration `json:"backoff"`           // after the first failed attempt; it doubles with each further one
	IdleTimeout       time.Duration `json:"idleTimeout"`       // without a byte, after which an attempt has failed
	Client            *http.Client  `json:"-"`                 // nil for a default one
}

// Fetcher brings files into a depot.
type Fetcher struct {
	depot  *Store
	source Source
	rate   *rate.Limiter

	mu      sync.Mutex
	mirrors []string // the one that failed last stands last
	fetched int64    // bytes that came
}

const (
	chunk  = 64 << 10 // written at once
	marked = ".etag"  // the file beside a part that names its version
)

func trimMark(name string) string { return strings.TrimSuffix(name, marked) }

// NewFetcher fetches from a source.
func (d *Store) NewFetcher(s Source) *Fetcher {
	if s.Client == nil {
		s.Client = &http.Client{}
	}
	f := &Fetcher{depot: d, source: s, mirrors: slices.Clone(s.Mirrors)}
	if s.MaxBytesPerSecond > 0 {
		f.rate = rate.NewLimiter(rate.Limit(s.MaxBytesPerSecond), max(s.MaxBytesPerSecond, chunk))
	}
	return f
}

// FetchedBytes is how many bytes came so far.
func (f *Fetcher) FetchedBytes() int64 { f.mu.Lock(); defer f.mu.Unlock(); return f.fetched }

// Fetch brings all files of a build that are not there yet. What is half there is gone on with. An error says which
// file and why; parts stay for the next time, unless they are wrong or the disk is full.
func (f *Fetcher) Fetch(ctx context.Context, m *build.Manifest) error {
	for _, file := range m.Files {
		if f.depot.Has(file) {
			continue
		}
		if err := f.one(ctx, file); err != nil {
			return fmt.Errorf("fetching %s: %w", file.Path, err)
		}
	}
	return nil
}

// one brings one file, from one mirror after the other.
func (f *Fetcher) one(ctx context.Context, file build.File) error {
	var last error
	for try := 0; try < max(1, f.source.MaxAttempts); {
		mirror := f.first()
		before := f.size(file)
		err := f.from(ctx, mirror, file)
		if err == nil {
			if err = f.depot.settle(file); err == nil {
				_ = os.Remove(f.depot.part(file.SHA256) + marked)
				return nil
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, ErrFull) || errors.Is(err, syscall.ENOSPC) {
			f.drop(file) // the running build needs the room more
			return err
		}
		last = fmt.Errorf("%s: %w", mirror, err)
		f.failed(mirror)
		if f.size(file) <= before {
			try++
		}
		if err := pause(ctx, f.source.Backoff, try); err != nil {
			return err
		}
	}
	return last
}

// pause waits longer the more tries failed, by chance, so that hosts don't come back all at once.
func pause(ctx context.Context, d time.Duration, try int) error {
	d <<= min(try, 6)
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

func (f *Fetcher) first() string { f.mu.Lock(); defer f.mu.Unlock(); return f.mirrors[0] }

// failed puts a mirror last.
func (f *Fetcher) failed(mirror string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.mirrors, mirror); i >= 0 {
		f.mirrors = append(slices.Delete(f.mirrors, i, i+1), mirror)
	}
}

func (f *Fetcher) size(file build.File) int64 {
	s, err := os.Stat(f.depot.part(file.SHA256))
	if err != nil {
		return 0
	}
	return s.Size()
}

func (f *Fetcher) drop(file build.File) {
	_ = os.Remove(f.depot.part(file.SHA256))
	_ = os.Remove(f.depot.part(file.SHA256) + marked)
}

// from goes on with a part from one mirror (RFC 9110, 14 and 13.1.5): by Range, and If-Range where the version is
// known, so that a file that has changed in between is not glued to what was fetched of another one.
func (f *Fetcher) from(ctx context.Context, mirror string, file build.File) error {
	have := f.size(file)
	if have > file.Size {
		f.drop(file)
		have = 0
	}
	if err := f.depot.room(file, have); err != nil {
		return err
	}
	if have == file.Size && have > 0 {
		return nil // to be checked
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, "GET", strings.TrimSuffix(mirror, "/")+"/sha256/"+file.SHA256, nil)
	if err != nil {
		return err
	}
	if have > 0 {
		version, _ := os.ReadFile(f.depot.part(file.SHA256) + marked)
		name, tag, _ := strings.Cut(string(version), "\n")
		ask.Header.Set("Range", fmt.Sprintf("bytes=%d-", have))
		if tag != "" && name == mirror { // tags of other mirrors say nothing
			ask.Header.Set("If-Range", tag)
		}
	}
	quiet := time.AfterFunc(max(f.source.IdleTimeout, time.Millisecond), cancel)
	defer quiet.Stop()
	got, err := f.source.Client.Do(ask)
	if err != nil {
		return err
	}
	defer got.Body.Close()
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	switch got.StatusCode {
	case http.StatusOK: // from the start
		flags = os.O_CREATE | os.O_WRONLY | os.O_TRUNC
		have = 0
	case http.StatusPartialContent:
		var from int64
		if _, err := fmt.Sscanf(got.Header.Get("Content-Range"), "bytes %d-", &from); err != nil || from != have {
			return fmt.Errorf("a range from %d was asked for, %q came", have, got.Header.Get("Content-Range"))
		}
	case http.StatusRequestedRangeNotSatisfiable:
		f.drop(file)
		return errors.New("the file there is shorter than what was fetched")
	default:
		return fmt.Errorf("status %s", got.Status)
	}
	tag := got.Header.Get("ETag")
	if strings.HasPrefix(tag, "W/") {
		tag = "" // weak ones promise no equal bytes
	}
	if err := os.WriteFile(f.depot.part(file.SHA256)+marked, []byte(mirror+"\n"+tag), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(f.depot.part(file.SHA256), flags, 0o644)
	if err != nil {
		return err
	}
	err = f.copy(ctx, out, got.Body, file.Size-have, quiet)
	if err2 := out.Close(); err == nil {
		err = err2
	}
	return err
}

// copy writes what comes, chunk by chunk, and no more than the file may have.
func (f *Fetcher) copy(ctx context.Context, out io.Writer, in io.Reader, left int64, quiet *time.Timer) error {
	buf := make([]byte, chunk)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			quiet.Reset(max(f.source.IdleTimeout, time.Millisecond))
			if left -= int64(n); left < 0 {
				return errors.New("more bytes came than the file has")
			}
			if _, err := out.Write(buf[:n]); err != nil {
				return err
			}
			f.mu.Lock()
			f.fetched += int64(n)
			f.mu.Unlock()
			if f.rate != nil {
				quiet.Stop()
				if err := f.rate.WaitN(ctx, n); err != nil {
					return err
				}
				quiet.Reset(max(f.source.IdleTimeout, time.Millisecond))
			}
		}
		switch {
		case errors.Is(err, io.EOF) && left == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}
