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

// download fetches the missing rest of a partly fetched file from one mirror (RFC 9110, sections 14 and 13.1.5). It
// sends Range, and If-Range if the entity tag is known, so that a file that has changed on the mirror isn't appended to
// bytes of the earlier version.
func (f *Fetcher) download(ctx context.Context, mirror string, file build.File) error {
	offset := f.partBytes(file)
	if offset > file.Size {
		f.removePart(file)
		offset = 0
	}
	if err := f.store.checkCapacity(file, offset); err != nil {
		return err
	}
	if offset == file.Size && offset > 0 {
		return nil // the file is complete but was not committed
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := f.newRequest(ctx, mirror, file, offset)
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
	case http.StatusOK: // the body starts at the first byte
		flags = os.O_CREATE | os.O_WRONLY | os.O_TRUNC
		offset = 0
	case http.StatusPartialContent:
		if err := checkContentRange(response.Header.Get("Content-Range"), offset); err != nil {
			return err
		}
	case http.StatusRequestedRangeNotSatisfiable:
		f.removePart(file)
		return errors.New("the file there is shorter than what was fetched")
	default:
		return fmt.Errorf("status %s", response.Status)
	}
	if err := f.saveETag(file, mirror, response.Header.Get("ETag")); err != nil {
		return err
	}
	return f.writePart(ctx, file, flags, response.Body, file.Size-offset, idle)
}

// idleTimeout returns the time without received bytes after which a download fails.
func (f *Fetcher) idleTimeout() time.Duration { return max(f.source.IdleTimeout, time.Millisecond) }

// newRequest returns a request for the bytes of a file from an offset on.
func (f *Fetcher) newRequest(ctx context.Context, mirror string, file build.File, offset int64) (*http.Request, error) {
	url := strings.TrimSuffix(mirror, "/") + "/sha256/" + file.SHA256
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	if offset > 0 {
		request.Header.Set("Range", fmt.Sprintf("bytes=%d-", offset))
		if tag := f.savedETag(file, mirror); tag != "" {
			request.Header.Set("If-Range", tag)
		}
	}
	return request, nil
}

// checkContentRange fails unless a response starts at the offset at which the partial file ends.
func checkContentRange(header string, offset int64) error {
	var from int64
	if _, err := fmt.Sscanf(header, "bytes %d-", &from); err != nil || from != offset {
		return fmt.Errorf("a range from %d was asked for, %q came", offset, header)
	}
	return nil
}

// saveETag saves the mirror and the entity tag of a partial file. A weak tag isn't saved, because it doesn't guarantee
// identical bytes.
func (f *Fetcher) saveETag(file build.File, mirror, tag string) error {
	if strings.HasPrefix(tag, "W/") {
		tag = ""
	}
	return os.WriteFile(f.etagPath(file), []byte(mirror+"\n"+tag), 0o644)
}

// savedETag returns the entity tag of a partial file, or "" if it came from another mirror: a mirror doesn't know the
// entity tags of other mirrors.
func (f *Fetcher) savedETag(file build.File, mirror string) string {
	saved, _ := os.ReadFile(f.etagPath(file))
	if from, tag, _ := strings.Cut(string(saved), "\n"); from == mirror {
		return tag
	}
	return ""
}

// writePart writes the body of a response to the partial file.
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

// copy copies the body chunk by chunk and fails if it has more or fewer bytes than are missing. It restarts the idle
// timer with each chunk, and stops the timer while the rate limit delays the download.
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
			if err := f.throttle(ctx, n, idle); err != nil {
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

// throttle adds n to the number of fetched bytes and waits as long as the rate limit requires.
func (f *Fetcher) throttle(ctx context.Context, n int, idle *time.Timer) error {
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
