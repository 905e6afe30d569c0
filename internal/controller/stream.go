package controller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp/websocket"
)

// watchEvent is one event on its way to a watcher.
type watchEvent struct {
	id   uint64
	kind string
	body []byte
}

// stream is the way to one watcher.
type stream interface {
	send([]watchEvent) error
	closed() <-chan struct{} // when the other side has gone; nil where the request's context tells
	gone() bool
	end()
}

// open starts a stream in the form that the request asks for. A write that takes longer than slow fails.
func open(w http.ResponseWriter, r *http.Request, slow time.Duration) (stream, error) {
	if strings.EqualFold(r.Header.Get("Upgrade"), "websocket") {
		return openSocket(w, r, slow)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return &sseStream{w: w, rc: http.NewResponseController(w), slow: slow}, nil
}

// sseStream is server-sent events (WHATWG HTML, 9.2).
type sseStream struct {
	w    http.ResponseWriter
	rc   *http.ResponseController
	slow time.Duration
	text bytes.Buffer
}

func (s *sseStream) send(all []watchEvent) error {
	s.text.Reset()
	for _, e := range all {
		fmt.Fprintf(&s.text, "id: %d\nevent: %s\ndata: %s\n\n", e.id, e.kind, e.body)
	}
	_ = s.rc.SetWriteDeadline(time.Now().Add(s.slow))
	if _, err := s.w.Write(s.text.Bytes()); err != nil {
		return err
	}
	return s.rc.Flush()
}

func (*sseStream) closed() <-chan struct{} { return nil }
func (*sseStream) gone() bool              { return false }
func (*sseStream) end()                    {}

// webSocketStream is the same events as WebSocket messages (RFC 6455), one JSON object each: id, event, data.
type webSocketStream struct {
	conn *websocket.Conn
	slow time.Duration
	over chan struct{}
	once sync.Once
}

func openSocket(w http.ResponseWriter, r *http.Request, slow time.Duration) (stream, error) {
	if r.Header.Get("Origin") != "" {
		problem(w, http.StatusForbidden, "Origin", "programs only: a page of another place must not watch with a person's certificate")
		return nil, errors.New("a browser")
	}
	s := &webSocketStream{slow: slow, over: make(chan struct{})}
	u := websocket.NewUpgrader()
	u.BlockingModAsyncWrite = false // writes wait, so that a slow watcher is noticed and not queued for
	u.OnClose(func(*websocket.Conn, error) { s.once.Do(func() { close(s.over) }) })
	conn, err := u.Upgrade(w, r, nil)
	if err != nil {
		return nil, err
	}
	s.conn = conn
	return s, nil
}

func (s *webSocketStream) send(all []watchEvent) error {
	for _, e := range all {
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.slow))
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

func (s *webSocketStream) gone() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

func (s *webSocketStream) end() { _ = s.conn.Close() }
