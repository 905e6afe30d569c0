package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a class of requests as clients know it.
type Class struct {
	Name    string
	Method  string
	Keyed   bool
	Timeout time.Duration
	Tenant  string
}

// Clients sends requests to one router, as the protocol page says: one at a time on a connection, on connections that are
// kept.
type Clients struct {
	router string
	record *Record
	prefix string
	last   atomic.Int64

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// NewClients returns clients of the router at an address. Their requests' ids begin with prefix.
func NewClients(record *Record, router, prefix string) *Clients {
	return &Clients{router: router, record: record, prefix: prefix}
}

// Result is how a request ended. Status 0 means that there was no whole answer.
type Result struct {
	ID     string
	Status int
	Body   string
	Closed time.Time // when the client closed its connection without an answer; zero if it did not
}

// Send sends a request and waits for its answer for the class's timeout, or for patience if that is shorter: a client
// that has waited so long closes its connection.
func (c *Clients) Send(class Class, patience time.Duration) Result {
	id := fmt.Sprintf("%s%d", c.prefix, c.last.Add(1))
	conn, err := c.connection()
	if err != nil {
		c.record.Line("%s could not connect: %v", id, err)
		return Result{ID: id}
	}
	sentAt := time.Now()
	c.record.Line("%s %s is sent, timeout %v", id, class.Name, class.Timeout)
	_, _ = io.WriteString(conn, requestText(class, id))
	_ = conn.SetReadDeadline(sentAt.Add(min(class.Timeout, patience)))
	status, body, keep := readAnswer(conn.in)
	result := Result{ID: id, Status: status, Body: body}
	if !keep {
		_ = conn.Close()
		if status == 0 {
			result.Closed = time.Now()
		}
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	c.record.Line("%s has %d %q after %v", id, status, strings.TrimSpace(body), time.Since(sentAt).Round(time.Millisecond))
	return result
}

func (c *Clients) connection() (*clientConn, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if isOpen(conn) {
			c.mu.Unlock()
			return conn, nil
		}
		_ = conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.Dial("tcp", c.router)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// isOpen reports whether the router has not closed a connection that rests.
func isOpen(c *clientConn) bool {
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := c.in.Peek(1)
	timeout, ok := err.(net.Error) //nolint:errorlint // net.Conn returns it unwrapped
	return ok && timeout.Timeout()
}

func requestText(class Class, id string) string {
	text := class.Method + " /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id + "\r\nRequest-Class: " +
		class.Name + fmt.Sprintf("\r\nRequest-Timeout-Ms: %d\r\n", class.Timeout.Milliseconds())
	if class.Tenant != "" {
		text += "Tenant: " + class.Tenant + "\r\n"
	}
	if class.Keyed {
		text += "Idempotency-Key: key-" + id + "\r\n"
	}
	if class.Method == http.MethodPost {
		return text + "Content-Length: 4\r\n\r\nbody"
	}
	return text + "\r\n"
}

func readAnswer(in *bufio.Reader) (status int, body string, keep bool) {
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", false
	}
	return answer.StatusCode, string(text), !answer.Close
}
