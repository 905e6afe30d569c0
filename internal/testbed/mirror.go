package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Mirror is a stand-in for a server of builds: /manifest/DIGEST, /signatures/DIGEST and /sha256/DIGEST, with Range and
// If-Range, and with faults.
type Mirror struct {
	server *http.Server
	listen net.Listener

	mu       sync.Mutex
	items    map[string][]byte
	fault    func(path string, body []byte) ReplyFault
	requests []string // paths, with the range
}

// ReplyFault is what a mirror does wrong with one reply. The zero Fault is nothing.
type ReplyFault struct {
	Status   int    // in place of an answer
	Body     []byte // in place of the right one
	CutAfter int    // bytes after which the connection ends; 0 for never
	Stall    bool   // goes silent there, instead of ending it
	ETag     string // in place of the right ETag
}

// StartMirror starts one that has nothing yet.
func StartMirror() (*Mirror, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("mirror: %w", err)
	}
	m := &Mirror{listen: l, items: map[string][]byte{}}
	m.server = &http.Server{Handler: m, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = m.server.Serve(l) }()
	return m, nil
}

// URL is where it is.
func (m *Mirror) URL() string { return "http://" + m.listen.Addr().String() }

// Stop ends it.
func (m *Mirror) Stop() { _ = m.server.Close() }

// Put adds a file, a manifest or signatures at a path.
func (m *Mirror) Put(path string, body []byte) { m.mu.Lock(); m.items[path] = body; m.mu.Unlock() }

// PutSignatures adds the signatures of a manifest.
func (m *Mirror) PutSignatures(digest string, all ...[]byte) {
	texts := make([]string, len(all))
	for i, s := range all {
		texts[i] = string(s)
	}
	raw, _ := json.Marshal(texts)
	m.Put("/signatures/"+digest, raw)
}

// SetFault says what goes wrong from now on; nil for nothing.
func (m *Mirror) SetFault(how func(path string, body []byte) ReplyFault) {
	m.mu.Lock()
	m.fault = how
	m.mu.Unlock()
}

// Requests are the paths asked for so far, each with its range.
func (m *Mirror) Requests() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.requests...)
}

func (m *Mirror) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	body, ok := m.items[r.URL.Path]
	how := m.fault
	m.requests = append(m.requests, strings.TrimSpace(r.URL.Path+" "+r.Header.Get("Range")))
	m.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	var f ReplyFault
	if how != nil {
		f = how(r.URL.Path, body)
	}
	if f.Status != 0 {
		http.Error(w, "out of order", f.Status)
		return
	}
	if f.Body != nil {
		body = f.Body
	}
	tag := f.ETag
	if tag == "" {
		tag = fmt.Sprintf(`"%d-%x"`, len(body), bytes.Count(body, []byte{'a'}))
	}
	w.Header().Set("ETag", tag)
	if f.CutAfter > 0 {
		w = &cutter{ResponseWriter: w, left: f.CutAfter, stall: f.Stall, done: r.Context().Done()}
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body))
}

// cutter ends a connection after some bytes of the body.
type cutter struct {
	http.ResponseWriter
	left  int
	stall bool
	done  <-chan struct{}
}

func (c *cutter) Write(p []byte) (int, error) {
	n, _ := c.ResponseWriter.Write(p[:min(len(p), c.left)])
	if c.left -= n; c.left > 0 {
		return n, nil
	}
	c.ResponseWriter.(http.Flusher).Flush()
	if c.stall {
		<-c.done
	}
	panic(http.ErrAbortHandler)
}
