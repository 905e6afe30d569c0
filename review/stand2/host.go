package stand2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Attempt is a request that has arrived at a host.
type Attempt struct {
	Host      *Host
	ID        string // Request-Id
	Key       string // Idempotency-Key
	FirstByte time.Time
	LastByte  time.Time
	Conn      net.Conn
}

// Host is a stand-in of a host, which serves every request after a while.
type Host struct {
	Name, Zone string
	Build      int
	Phase      string
	UpSince    int64
	Serve      func(*Attempt) (keep bool) // nil means ServeOK
	Work       time.Duration

	c        *Case
	listener net.Listener

	mu       sync.Mutex
	attempts []*Attempt
}

// NewHost starts a host on a loopback address.
func (c *Case) NewHost(name string, build int, work time.Duration) (*Host, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{Name: name, Zone: "here", Build: build, Phase: "up", Work: work, c: c, listener: l}
	go h.accept()
	return h, nil
}

// Address returns the address that the host listens on.
func (h *Host) Address() string { return h.listener.Addr().String() }

// Attempts returns the requests that have arrived.
func (h *Host) Attempts() []*Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Attempt(nil), h.attempts...)
}

func (h *Host) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		go h.serve(conn)
	}
}

func (h *Host) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := &Attempt{Host: h, FirstByte: time.Now(), Conn: conn}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		a.LastByte, a.ID, a.Key = time.Now(), request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key")
		h.mu.Lock()
		h.attempts = append(h.attempts, a)
		h.mu.Unlock()
		h.c.NoteAt(a.LastByte, "host %s got %s (%s), first byte at %.4f, timeout %s ms", h.Name, a.ID, request.Header.Get("Request-Class"),
			a.FirstByte.Sub(h.c.start).Seconds(), request.Header.Get("Request-Timeout-Ms"))
		serve := h.Serve
		if serve == nil {
			serve = ServeOK
		}
		if !serve(a) {
			return
		}
	}
}

// ServeOK serves a request after the host's work.
func ServeOK(a *Attempt) (keep bool) {
	time.Sleep(a.Host.Work)
	return a.Answer("200 OK", "served "+a.ID+" at "+a.Host.Name, "")
}

// Answer writes an answer. fields are further header lines, each with its line end.
func (a *Attempt) Answer(status, body, fields string) (keep bool) {
	_, err := fmt.Fprintf(a.Conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\nServer-Load: inflight=1\r\n%s\r\n%s", status, len(body), fields, body)
	return err == nil
}

// Reset resets a connection.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
