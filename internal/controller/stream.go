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

// stream carries events to one watcher.
type stream interface {
	send([]watchEvent) error
	closed() <-chan struct{} // closed when the watcher has gone; nil where the request's context tells
	isClosed() bool
	close()
}

// openStream starts a stream in the form that the request asks for. A write that takes longer than the timeout fails.
func openStream(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) (stream, error) {
	if strings.EqualFold(r.Header.Get("Upgrade"), "websocket") {
		return openWebSocket(w, r, writeTimeout)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return &sseStream{w: w, rc: http.NewResponseController(w), writeTimeout: writeTimeout}, nil
}

// sseStream is server-sent events (WHATWG HTML, 9.2).
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
func (*sseStream) close()                  {} // with the request

// webSocketStream is the same events as WebSocket messages (RFC 6455), one JSON object each: id, event, data.
type webSocketStream struct {
	conn         *websocket.Conn
	writeTimeout time.Duration
	over         chan struct{} // closed when the connection is
	once         sync.Once
}

func openWebSocket(w http.ResponseWriter, r *http.Request, writeTimeout time.Duration) (stream, error) {
	if r.Header.Get("Origin") != "" {
		return nil, &problem{status: http.StatusForbidden, field: "Origin",
			detail: "programs only: a page of another place must not watch with a person's certificate"}
	}
	s := &webSocketStream{writeTimeout: writeTimeout, over: make(chan struct{})}
	upgrader := websocket.NewUpgrader()
	upgrader.BlockingModAsyncWrite = false // writes wait, so that a slow watcher is noticed and not queued for
	upgrader.OnClose(func(*websocket.Conn, error) { s.once.Do(func() { close(s.over) }) })
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAnswered, err) // by the upgrader
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

func (s *webSocketStream) closed() <-chan struct{} { return s.over }

func (s *webSocketStream) isClosed() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

func (s *webSocketStream) close() { _ = s.conn.Close() } // the watcher may have closed it already
