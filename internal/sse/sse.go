// Package sse reads server-sent events (the event stream format of the WHATWG) and resumes a broken stream after the last
// event that was received.
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
	minBackoff    = 100 * time.Millisecond // before the first attempt to reopen a broken stream; doubles with each attempt
	maxBackoff    = 3 * time.Second        // bounds how long a client waits before it uses a server that is available again
	idleTimeout   = 20 * time.Second       // several times the interval at which servers send data even if nothing has changed
	maxEventBytes = 1 << 20                // the largest event is a release with a long history
	lineBuffer    = 4096                   // initial size of the line buffer in bytes; it grows up to maxEventBytes
)

// Dropped is the name of the event, without data, that is passed to handle when the server no longer has the events after
// the last one received. The stream continues with new events.
const Dropped = "dropped"

var errTooLarge = errors.New("event is too large")

// Follow reads a stream until ctx is done. If the stream breaks, Follow waits for a random backoff and resumes it after
// the last received event by sending Last-Event-ID. Several servers may serve the stream with the same event ids: nextURL
// returns the URL to open next. handle is called for each event, and onError for each error of handle or of the stream.
// The calls are never concurrent.
func Follow(ctx context.Context, client *http.Client, nextURL func() string, handle func(event string, data []byte) error,
	onError func(error)) {
	r := reader{client: client, handle: handle, onError: onError}
	backoff := minBackoff
	for ctx.Err() == nil {
		openedAt, url := time.Now(), nextURL()
		err := r.readStream(ctx, url)
		if ctx.Err() != nil {
			return
		}
		onError(fmt.Errorf("event stream from %s ended: %w", url, err))
		if time.Since(openedAt) > maxBackoff {
			backoff = minBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)): // random, so that not all clients reconnect at once
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// reader reads one stream after another.
type reader struct {
	client      *http.Client
	handle      func(event string, data []byte) error
	onError     func(error)
	lastEventID string
}

// readStream reads one stream to its end. It ends the stream if no line arrives within idleTimeout.
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
	defer func() { _ = response.Body.Close() }() // an error of Close doesn't matter
	if response.StatusCode == http.StatusGone {
		r.lastEventID = ""
		r.dispatch(Dropped, nil)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return r.readEvents(response.Body, func() { idle.Reset(idleTimeout) })
}

// readEvents reads events to the end of a stream and then returns io.EOF. It calls onLine for each line.
func (r *reader) readEvents(body io.Reader, onLine func()) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, lineBuffer), maxEventBytes)
	var event, id string
	var data bytes.Buffer
	for lines.Scan() {
		onLine()
		if lines.Text() == "" { // an empty line ends an event
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

// dispatch calls handle for an event and passes its error to onError.
func (r *reader) dispatch(event string, data []byte) {
	if err := r.handle(event, data); err != nil {
		r.onError(err)
	}
}
