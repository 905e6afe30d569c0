package downstream

import (
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// clientConn is one client's connection. Its reader belongs to the poller, under mu; its slots to the loop.
type clientConn struct {
	door  *Server
	conn  *transport.Conn
	from  netip.Addr
	heard atomic.Int64 // when the last byte came
	begun atomic.Int64 // when the first byte of the request in hand came; 0 while there is none
	owed  atomic.Int64 // requests without an answer

	mu     sync.Mutex
	reader *http1.Reader
	deaf   bool // nothing more is read

	slots   []*pendingResponse // in the order of the requests
	came    policy.Time
	asked   bool        // a request of it was whole
	leaving policy.Time // since when it has had its last answer
	gone    bool
}

// pendingResponse is where one request's answer goes; answers leave in the order of the requests.
type pendingResponse struct {
	guest    *clientConn
	call     *Request // nil once it is answered, or where no task was made of it
	head     []byte
	body     []byte
	done     bool
	closes   bool
	headless bool
	id       string // that it is known by while it is open
}

// Data reads what a client sends (sock.Session).
func (g *clientConn) Data(data []byte) {
	for _, work := range g.read(data) {
		g.door.loop.Post(work)
	}
}

// read reads on and returns what the loop has to know. The lock is not held any more when the loop is told: its work
// may come to this very guest.
func (g *clientConn) read(data []byte) (work []func()) {
	now := int64(g.door.loop.Now())
	g.heard.Store(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.deaf {
		if g.begun.Load() == 0 && len(data) > 0 {
			g.begun.Store(now)
		}
		n, event, err := g.reader.Read(data)
		data = data[n:]
		if err != nil {
			g.deaf = true
			g.reader.Drop()
			g.owed.Add(1)
			return append(work, func() {
				if g.owed.Add(-1); !g.over() {
					g.refuse(err.(*http1.Error))
				}
			})
		}
		switch event {
		case http1.More:
			if g.reader.Idle() {
				g.begun.Store(0)
			}
			return work
		case http1.Head:
			if m := g.reader.Peek(); strings.EqualFold(m.Get("Expect"), "100-continue") && g.owed.Load() == 0 {
				_, _ = g.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
			}
		case http1.Whole:
			m, begun := g.reader.Take(), policy.Time(g.begun.Load())
			g.begun.Store(0)
			if g.owed.Add(1) > int64(4*g.door.welcome.MaxPipelined) { // more than are even turned back
				g.deaf = true
				m.Drop()
				g.conn.Close()
				return work
			}
			if m.Closes() {
				g.deaf = true // what follows a last request is not looked at
			}
			work = append(work, func() {
				if g.over() { // no answer can reach the client any more, so that nothing may run for it
					m.Drop()
					return
				}
				g.door.called(g, m, begun)
			})
		}
	}
	return work
}

// Wrote is of no interest here (sock.Session).
func (g *clientConn) Wrote(int) {}

// Closed tells those who work for this client that it has gone (sock.Session).
func (g *clientConn) Closed(error) {
	g.mu.Lock()
	g.deaf = true
	g.reader.Drop()
	g.mu.Unlock()
	g.door.loop.Post(func() {
		g.gone = true
		delete(g.door.guests, g)
		for _, s := range g.slots {
			s.abandon()
		}
		g.slots = nil
	})
}

// abandon ends a slot that no answer can reach any more.
func (s *pendingResponse) abandon() {
	if s.done {
		return
	}
	s.settled()
	if c := s.call; c != nil {
		s.call = nil
		c.OnClientGone()
	}
}

// settled notes that nothing is owed any more.
func (s *pendingResponse) settled() {
	d := s.guest.door
	s.done = true
	d.open--
	if s.id != "" && d.ids[s.id] == s {
		delete(d.ids, s.id)
	}
}

// over tells whether a connection takes no further request: it has ended, or had its last answer.
func (g *clientConn) over() bool { return g.gone || g.leaving != 0 }

// leave ends the connection; the place that it had is free at once.
func (g *clientConn) leave() {
	g.gone = true
	delete(g.door.guests, g)
	g.conn.Close()
}

// leaveIdle does so if nothing of a request has come that is not answered, wherever it may be on its way, and the last
// answer has left; it tells whether that was so.
func (g *clientConn) leaveIdle() bool {
	idle := g.conn.CloseIdle(func() bool {
		pending, _ := g.conn.Pending()
		return g.begun.Load() == 0 && g.owed.Load() == 0 && pending == 0
	})
	if idle {
		g.leave()
	}
	return idle
}

// refuse answers what can't be read, after the answers owed before it, and ends the connection.
func (g *clientConn) refuse(wrong *http1.Error) {
	g.mu.Lock()
	g.deaf = true
	g.reader.Drop()
	g.mu.Unlock()
	g.begun.Store(0)
	g.asked = true
	s := &pendingResponse{guest: g, closes: true}
	g.slots = append(g.slots, s)
	g.owed.Add(1)
	g.door.open++
	s.refuse(wrong)
}

func (s *pendingResponse) refuse(wrong *http1.Error) {
	head := appendStatus(make([]byte, 0, 256), wrong.Status, reasons[wrong.Status])
	if wrong.Status == 503 {
		head = http1.AppendField(head, "Retry-After", "1")
	}
	s.text(head, wrong.Text)
}

var reasons = map[int]string{400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// text ends a head with a line of plain text as its body.
func (s *pendingResponse) text(head []byte, why string) {
	head = http1.AppendField(head, "Content-Type", "text/plain; charset=utf-8")
	head = http1.AppendField(head, "Content-Length", strconv.Itoa(len(why)+1))
	head = append(head, s.ending()...)
	if s.headless {
		s.answer(head, nil)
		return
	}
	s.answer(append(append(head, why...), '\n'), nil)
}

// ending closes a head.
func (s *pendingResponse) ending() string {
	if s.closes {
		return "Connection: close\r\n\r\n"
	}
	return "\r\n"
}

// answer takes the one answer of a request and writes all that are next in order.
func (s *pendingResponse) answer(head, body []byte) {
	g := s.guest
	if s.done {
		return
	}
	s.call = nil
	s.settled()
	if len(g.slots) > 1 && g.slots[0] != s { // it waits for others, and its body belongs to whoever answers
		s.head, s.body = head, append([]byte(nil), body...)
		return
	}
	s.head, s.body = head, body
	for len(g.slots) > 0 && g.slots[0].done && !g.gone {
		next := g.slots[0]
		g.slots = g.slots[1:]
		g.owed.Add(-1)
		if pending, _ := g.conn.Pending(); pending > 4*g.door.welcome.Limits.Body+1<<16 {
			g.conn.Close() // it asks and doesn't read
			return
		}
		_, err := g.conn.Write(next.head, next.body)
		next.head, next.body = nil, nil
		if err != nil {
			return // its end follows
		}
		if next.closes {
			g.leaving = g.door.loop.Now() // the client closes; the sweep does if it doesn't
			g.conn.CloseWrite()
			for _, rest := range g.slots {
				rest.abandon()
			}
			g.slots = nil
			return
		}
	}
}
