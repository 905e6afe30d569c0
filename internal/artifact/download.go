package artifact

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"dapplefront/build"
)

// download completes the part of a file from one mirror (RFC 9110, 14 and 13.1.5): by Range, and If-Range where the
// version is known, so that a file that has changed on the mirror isn't appended to what was fetched of another one.
func (f *Fetcher) download(ctx context.Context, mirror string, file build.File) error {
	have := f.partBytes(file)
	if have > file.Size {
		f.removePart(file)
		have = 0
	}
	if err := f.store.checkCapacity(file, have); err != nil {
		return err
	}
	if have == file.Size && have > 0 {
		return nil // it is complete but was not committed
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := f.newRequest(ctx, mirror, file, have)
	if err != nil {
		return err
	}
	idle := time.AfterFunc(f.idleTimeout(), cancel)
	defer idle.Stop()
	response, err := f.source.Client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	flags := os.O_CREATE | os.O_WRONLY | os.O_APPEND
	switch response.StatusCode {
	case http.StatusOK: // from the start
		flags = os.O_CREATE | os.O_WRONLY | os.O_TRUNC
		have = 0
	case http.StatusPartialContent:
		if err := checkContentRange(response.Header.Get("Content-Range"), have); err != nil {
			return err
		}
	case http.StatusRequestedRangeNotSatisfiable:
		f.removePart(file)
		return errors.New("the file there is shorter than what was fetched")
	default:
		return fmt.Errorf("status %s", response.Status)
	}
	if err := f.saveVersion(file, mirror, response.Header.Get("ETag")); err != nil {
		return err
	}
	return f.writePart(ctx, file, flags, response.Body, file.Size-have, idle)
}

// idleTimeout is the time without a byte after which a download has failed.
func (f *Fetcher) idleTimeout() time.Duration { return max(f.source.IdleTimeout, time.Millisecond) }

// newRequest asks for a file from a position on.
func (f *Fetcher) newRequest(ctx context.Context, mirror string, file build.File, have int64) (*http.Request, error) {
	url := strings.TrimSuffix(mirror, "/") + "/sha256/" + file.SHA256
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if have > 0 {
		request.Header.Set("Range", fmt.Sprintf("bytes=%d-", have))
		if tag := f.savedVersion(file, mirror); tag != "" {
			request.Header.Set("If-Range", tag)
		}
	}
	return request, nil
}

// checkContentRange checks that a response continues where the part ends.
func checkContentRange(header string, have int64) error {
	var from int64
	if _, err := fmt.Sscanf(header, "bytes %d-", &from); err != nil || from != have {
		return fmt.Errorf("a range from %d was asked for, %q came", have, header)
	}
	return nil
}

// saveVersion saves the mirror and the entity tag of what is fetched. Weak tags don't promise equal bytes and aren't kept.
func (f *Fetcher) saveVersion(file build.File, mirror, tag string) error {
	if strings.HasPrefix(tag, "W/") {
		tag = ""
	}
	return os.WriteFile(f.versionPath(file), []byte(mirror+"\n"+tag), 0o644)
}

// savedVersion returns the entity tag of the part if it is from this mirror: mirrors don't know each other's tags.
func (f *Fetcher) savedVersion(file build.File, mirror string) string {
	version, _ := os.ReadFile(f.versionPath(file))
	if from, tag, _ := strings.Cut(string(version), "\n"); from == mirror {
		return tag
	}
	return ""
}

// writePart writes a response's body to the part.
func (f *Fetcher) writePart(ctx context.Context, file build.File, flags int, body io.Reader, missing int64, idle *time.Timer) error {
	out, err := os.OpenFile(f.partPath(file), flags, 0o644)
	if err != nil {
		return err
	}
	err = f.copy(ctx, out, body, missing, idle)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	return err
}

// copy writes what arrives, chunk by chunk, and fails after more or fewer bytes than are missing. It restarts the idle
// timer with each chunk and stops it while the rate limit holds the download back.
func (f *Fetcher) copy(ctx context.Context, out io.Writer, in io.Reader, missing int64, idle *time.Timer) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			idle.Reset(f.idleTimeout())
			if missing -= int64(n); missing < 0 {
				return errors.New("more bytes came than the file has")
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				return err
			}
			if err := f.count(ctx, n, idle); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && missing == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// count counts received bytes and waits as the rate limit requires.
func (f *Fetcher) count(ctx context.Context, n int, idle *time.Timer) error {
	f.mu.Lock()
	f.fetched += int64(n)
	f.mu.Unlock()
	if f.limiter == nil {
		return nil
	}
	idle.Stop()
	if err := f.limiter.WaitN(ctx, n); err != nil {
		return err
	}
	idle.Reset(f.idleTimeout())
	return nil
}
