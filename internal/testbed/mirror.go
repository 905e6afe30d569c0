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
// If-Range, which can be given faults. Its methods may be called concurrently.
type Mirror struct {
	server   *httpServer
	listener net.Listener

	mu       sync.Mutex
	contents map[string][]byte                         // by path
	fault    func(path string, body []byte) ReplyFault // nil for none
	requests []string                                  // paths, with the range
}

// ReplyFault is what a mirror does wrong with one response. The zero ReplyFault is nothing.
type ReplyFault struct {
	Status   int    // this status and no content; 0 for none
	Body     []byte // this body instead of the right one; nil for none
	CutAfter int    // bytes of the body after which the connection ends; 0 for never
	Stall    bool   // after CutAfter bytes send no more until the client leaves, and only then end it
	ETag     string // this entity tag instead of the right one; empty for none
}

// StartMirror starts a mirror without contents.
func StartMirror() (*Mirror, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, fmt.Errorf("mirror: %w", err)
	}
	m := &Mirror{listener: listener, contents: map[string][]byte{}}
	m.server = startHTTPServer(listener, m)
	return m, nil
}

// URL is the base of its URLs, without a slash at the end.
func (m *Mirror) URL() string { return "http://" + m.listener.Addr().String() }

// Stop closes it with all its connections.
func (m *Mirror) Stop() { m.server.stop() }

// Put sets the content at a path: a file, a manifest or signatures.
func (m *Mirror) Put(path string, body []byte) {
	m.mu.Lock()
	m.contents[path] = body
	m.mu.Unlock()
}

// PutSignatures sets the signatures of the manifest with a digest.
func (m *Mirror) PutSignatures(digest string, signatures ...[]byte) {
	texts := make([]string, len(signatures))
	for i, signature := range signatures {
		texts[i] = string(signature)
	}
	body, err := json.Marshal(texts)
	if err != nil {
		panic(err) // a list of strings
	}
	m.Put("/signatures/"+digest, body)
}

// SetFault chooses the fault of each response from now on by its path and right body; nil for none.
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

// ServeHTTP answers one request. It panics with http.ErrAbortHandler to end the connection within a response.
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
	if fault.CutAfter > 0 {
		w = &cutWriter{ResponseWriter: w, left: fault.CutAfter, stall: fault.Stall, clientLeft: r.Context().Done()}
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

// cutWriter ends a connection after some bytes of the body.
type cutWriter struct {
	http.ResponseWriter
	left       int // bytes
	stall      bool
	clientLeft <-chan struct{}
}

func (w *cutWriter) Write(p []byte) (int, error) {
	n, _ := w.ResponseWriter.Write(p[:min(len(p), w.left)]) // a short count ends the response
	if w.left -= n; w.left > 0 {
		return n, nil
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush() // fails only if the client has left
	if w.stall {
		<-w.clientLeft
	}
	panic(http.ErrAbortHandler)
}
