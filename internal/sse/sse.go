// Package sse reads server-sent events (the WHATWG's event stream format) and resumes a broken stream where it ended.
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
	minBackoff    = 100 * time.Millisecond // before a broken stream is opened again; doubled each time
	maxBackoff    = 3 * time.Second        // a server that is back is found within this
	idleTimeout   = 20 * time.Second       // several times the interval at which servers repeat themselves
	maxEventBytes = 1 << 20                // the largest event is a release with a long trace
	lineBuffer    = 4096                   // bytes at the start; it grows to maxEventBytes
)

// Dropped is the event that is handled, with no data, when the server no longer has the events that followed the last
// one; the stream goes on with new events.
const Dropped = "dropped"

var errTooLarge = errors.New("an event is too large")

// Follow reads a stream until ctx ends. When it breaks, it is opened again after a random backoff, from the last event
// on by Last-Event-ID. Several servers may have the stream, with the same ids: where names the URL to open next. handle is
// called for each event, failed for each error of handle or of the stream; never two calls at once.
func Follow(ctx context.Context, client *http.Client, where func() string, handle func(event string, data []byte) error,
	failed func(error)) {
	r := reader{client: client, handle: handle, failed: failed}
	backoff := minBackoff
	for ctx.Err() == nil {
		began, url := time.Now(), where()
		err := r.readStream(ctx, url)
		if ctx.Err() != nil {
			return
		}
		failed(fmt.Errorf("the watch of %s ended: %w", url, err))
		if time.Since(began) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)): // so that not all clients return at once
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// reader reads one stream after another.
type reader struct {
	client      *http.Client
	handle      func(event string, data []byte) error
	failed      func(error)
	lastEventID string
}

// readStream reads one stream to its end. A stream that is silent for idleTimeout ends.
func (r *reader) readStream(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Accept", "text/event-stream")
	if r.lastEventID != "" {
		request.Header.Set("Last-Event-ID", r.lastEventID)
	}
	idle := time.AfterFunc(idleTimeout, cancel)
	defer idle.Stop()
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // its end is of no interest
	if response.StatusCode == http.StatusGone {
		r.lastEventID = ""
		r.dispatch(Dropped, nil)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return r.readEvents(response.Body, func() { idle.Reset(idleTimeout) })
}

// readEvents reads events to the end of a stream, which is io.EOF, and calls onLine at each line.
func (r *reader) readEvents(body io.Reader, onLine func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, lineBuffer), maxEventBytes)
	var event, id string
	var data bytes.Buffer
	for lines.Scan() {
		onLine()
		if lines.Text() == "" { // the end of an event
			if data.Len() > 0 {
				r.dispatch(event, bytes.TrimSuffix(data.Bytes(), []byte("\n")))
			}
			if id != "" {
				r.lastEventID = id
			}
			event, id = "", ""
			data.Reset()
			continue
		}
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			event = value
		case "id":
			id = value
		case "data":
			if data.Len()+len(value) > maxEventBytes {
				return errTooLarge
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

// dispatch has an event handled and reports an error of that.
func (r *reader) dispatch(event string, data []byte) {
	if err := r.handle(event, data); err != nil {
		r.failed(err)
	}
}
