package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp/websocket"
)

// stream sends events to one watcher.
type stream interface {
	send([]watchEvent) error
	closed() <-chan struct{} // closed when the watcher disconnects; nil if the end of the request's context signals that
	isClosed() bool
	close()
}

// openStream starts a WebSocket stream if the request asks for an upgrade, otherwise a stream of server-sent events. A write
// that takes longer than the timeout fails.
func openStream(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) (stream, error) {
	if strings.EqualFold(r.Header.Get("Upgrade"), "websocket") {
		return openWebSocket(w, r, writeTimeout)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return &sseStream{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}, nil
}

// sseStream sends events as server-sent events (WHATWG HTML, 9.2).
type sseStream struct {
	w            http.ResponseWriter
	rc           *http.ResponseController
	writeTimeout time.Duration
	text         bytes.Buffer
}

func (s *sseStream) send(events []watchEvent) error {
	s.text.Reset()
	for _, e := range events {
		fmt.Fprintf(&s.text, "id: %d\nevent: %s\ndata: %s\n\n", e.id, e.kind, e.body)
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if _, err := s.w.Write(s.text.Bytes()); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (*sseStream) closed() <-chan struct{} { return nil }
func (*sseStream) isClosed() bool          { return false }
func (*sseStream) close()                  {} // the stream ends with the request

// webSocketStream sends events as WebSocket messages (RFC 6455): each is a JSON object with the fields id, event and data.
type webSocketStream struct {
	conn         *websocket.Conn
	writeTimeout time.Duration
	connClosed   chan struct{} // closed when the connection is closed
	once         sync.Once
}

func openWebSocket(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) (stream, error) {
	if r.Header.Get("Origin") != "" {
		return nil, &problem{status: http.StatusForbidden, field: "Origin",
			detail: "programs only: a page of another place must not watch with a person's certificate"}
	}
	s := &webSocketStream{writeTimeout: writeTimeout, connClosed: make(chan struct{})}
	upgrader := websocket.NewUpgrader()
	upgrader.BlockingModAsyncWrite = false // writes block, so that a slow watcher is detected instead of its events being queued
	upgrader.OnClose(func(*websocket.Conn, error) { s.once.Do(func() { close(s.connClosed) }) })
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errResponseWritten, err) // the upgrader has written the response
	}
	s.conn = conn
	return s, nil
}

func (s *webSocketStream) send(events []watchEvent) error {
	for _, e := range events {
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout))
		body, err := json.Marshal(struct {
			ID    uint64          `json:"id"`
			Event string          `json:"event"`
			Data  json.RawMessage `json:"data"`
		}{e.id, e.kind, e.body})
		if err != nil {
			return err
		}
		if err := s.conn.WriteMessage(websocket.TextMessage, body); err != nil {
			return err
		}
	}
	return nil
}

func (s *webSocketStream) closed() <-chan struct{} { return s.connClosed }

func (s *webSocketStream) isClosed() bool {
	select {
	case <-s.connClosed:
		return true
	default:
		return false
	}
}

func (s *webSocketStream) close() { _ = s.conn.Close() } // the watcher may have closed the connection already
