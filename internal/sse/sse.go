// Package sse reads server-sent events (the WHATWG's event stream format) and takes a broken stream up again where it
// ended.
package sse

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	minBackoff    = 100 * time.Millisecond // before a broken stream is taken up again, then twice as long each time
	maxBackoff    = 3 * time.Second        // a server that is back is heard of within this
	idleTimeout   = 20 * time.Second       // several times what servers repeat themselves in
	maxEventBytes = 1 << 20                // bytes of an event; the largest is a release with a long trace
)

// Follow reads a stream until ctx ends, and takes it up again when it breaks, by Last-Event-ID and not all clients at
// once. It calls tell for each event, and trouble for what went wrong, its error or the stream's; neither at once.
func Follow(ctx context.Context, client *http.Client, url string, tell func(event string, data []byte) error,
	trouble func(error)) {
	FollowAny(ctx, client, func() string { return url }, tell, trouble)
}

// Dropped is the event that tell hears, with no data, when the server has dropped events that were still to come; the
// stream goes on from now.
const Dropped = "dropped"

// FollowAny is Follow of a stream that several servers have, with the same ids: where names the one to ask next.
func FollowAny(ctx context.Context, client *http.Client, where func() string, tell func(event string, data []byte) error,
	trouble func(error)) {
	wait, last := minBackoff, ""
	for ctx.Err() == nil {
		began, url := time.Now(), where()
		err := readStream(ctx, client, url, &last, tell, trouble)
		if ctx.Err() != nil {
			return
		}
		trouble(fmt.Errorf("the watch of %s ended: %w", url, err))
		if time.Since(began) > maxBackoff {
			wait = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxBackoff)
	}
}

// readStream reads one stream to its end.
func readStream(ctx context.Context, client *http.Client, url string, last *string, tell func(string, []byte) error,
	trouble func(error)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, "GET", url, nil)
	if err != nil {
		return err
	}
	ask.Header.Set("Accept", "text/event-stream")
	if *last != "" {
		ask.Header.Set("Last-Event-ID", *last)
	}
	quiet := time.AfterFunc(idleTimeout, cancel)
	defer quiet.Stop()
	got, err := client.Do(ask)
	if err != nil {
		return err
	}
	defer got.Body.Close()
	if got.StatusCode == http.StatusGone {
		*last = ""
		if err := tell(Dropped, nil); err != nil {
			trouble(err)
		}
	}
	if got.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", got.Status)
	}
	lines := bufio.NewScanner(got.Body)
	lines.Buffer(make([]byte, 4096), maxEventBytes)
	var event, id string
	var data bytes.Buffer
	for lines.Scan() {
		quiet.Reset(idleTimeout)
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case lines.Text() == "":
			if data.Len() > 0 {
				if err := tell(event, bytes.TrimSuffix(data.Bytes(), []byte("\n"))); err != nil {
					trouble(err)
				}
			}
			if id != "" {
				*last = id
			}
			event, id = "", ""
			data.Reset()
		case name == "event":
			event = value
		case name == "id":
			id = value
		case name == "data":
			if data.Len()+len(value) > maxEventBytes {
				return errors.New("an event is too large")
			}
			data.WriteString(value)
			data.WriteByte('\n')
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}
