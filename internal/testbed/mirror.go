package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Mirror is an artifact mirror: an HTTP server for /manifest/DIGEST, /signatures/DIGEST and /sha256/DIGEST with Range and
// If-Range, into which faults can be injected. Its methods may be called concurrently.
type Mirror struct {
	server   *httpServer
	listener net.Listener

	mu       sync.Mutex
	contents map[string][]byte                         // by path
	fault    func(path string, body []byte) ReplyFault // nil for none
	requests []string                                  // as Requests returns them
}

// ReplyFault is a fault in one response of a mirror. The zero ReplyFault means no fault.
type ReplyFault struct {
	Status        int    // HTTP status sent without the content; 0 for no fault
	Body          []byte // sent instead of the correct body; nil for no fault
	TruncateAfter int    // number of bytes of the body after which the connection is closed; 0 for never
	Stall         bool   // after TruncateAfter bytes, keep the connection open without sending until the client disconnects
	ETag          string // sent instead of the correct entity tag; empty for no fault
}

// StartMirror starts a mirror that has no contents yet.
func StartMirror() (*Mirror, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, fmt.Errorf("mirror: %w", err)
	}
	m := &Mirror{listener: listener, contents: map[string][]byte{}}
	m.server = startHTTPServer(listener, m)
	return m, nil
}

// URL returns the base URL, without a trailing slash.
func (m *Mirror) URL() string { return "http://" + m.listener.Addr().String() }

// Stop closes the server and all its connections.
func (m *Mirror) Stop() { m.server.stop() }

// Put sets the content at a path: a file, a manifest or signatures.
func (m *Mirror) Put(path string, body []byte) {
	m.mu.Lock()
	m.contents[path] = body
	m.mu.Unlock()
}

// PutSignatures sets the signatures of the manifest with the given digest.
func (m *Mirror) PutSignatures(digest string, signatures ...[]byte) {
	texts := make([]string, len(signatures))
	for i, signature := range signatures {
		texts[i] = string(signature)
	}
	body, err := json.Marshal(texts)
	if err != nil {
		panic(err) // can't happen: a list of strings
	}
	m.Put("/signatures/"+digest, body)
}

// SetFault sets a function that chooses the fault of each later response by the path and the correct body. A nil function
// means no faults.
func (m *Mirror) SetFault(choose func(path string, body []byte) ReplyFault) {
	m.mu.Lock()
	m.fault = choose
	m.mu.Unlock()
}

// Requests returns the paths of all requests so far, each followed by a space and its Range header if it has one.
func (m *Mirror) Requests() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.requests...)
}

// ServeHTTP handles one request. It panics with http.ErrAbortHandler to close the connection within a response.
func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	body, ok := m.contents[r.URL.Path]
	choose := m.fault
	m.requests = append(m.requests, strings.TrimSpace(r.URL.Path+" "+r.Header.Get("Range")))
	m.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	var fault ReplyFault
	if choose != nil {
		fault = choose(r.URL.Path, body)
	}
	if fault.Status != 0 {
		http.Error(w, "out of order", fault.Status)
		return
	}
	if fault.Body != nil {
		body = fault.Body
	}
	etag := fault.ETag
	if etag == "" {
		etag = fmt.Sprintf(`"%d-%x"`, len(body), bytes.Count(body, []byte{'a'}))
	}
	w.Header().Set("ETag", etag)
	if fault.TruncateAfter > 0 {
		w = &truncatingWriter{ResponseWriter: w, remaining: fault.TruncateAfter, stall: fault.Stall, disconnected: r.Context().Done()}
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

// truncatingWriter closes the connection when it has written a given number of bytes of the body.
type truncatingWriter struct {
	http.ResponseWriter
	remaining    int // bytes
	stall        bool
	disconnected <-chan struct{}
}

func (w *truncatingWriter) Write(p []byte) (int, error) {
	n, _ := w.ResponseWriter.Write(p[:min(len(p), w.remaining)]) // a short write ends the response
	if w.remaining -= n; w.remaining > 0 {
		return n, nil
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush() // fails only if the client has disconnected
	if w.stall {
		<-w.disconnected
	}
	panic(http.ErrAbortHandler)
}
