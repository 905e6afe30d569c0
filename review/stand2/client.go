package stand2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Request is a client's request.
type Request struct {
	Class   string
	Method  string
	Key     string // Idempotency-Key; none if empty
	Timeout time.Duration
	Info    string
}

// Result is what a client saw of a request.
type Result struct {
	Request
	ID     string
	Sent   time.Time // when the last byte was written
	Ended  time.Time // when the last byte of the answer, or the connection's end, was read
	Status int       // 0 without an answer
	Body   string
	Err    error
	// ReadAndClosed is set if the connection was closed without a byte of an answer after the router had read the whole
	// request: had it left bytes unread, or had the request come after the close, the connection would have been reset.
	ReadAndClosed bool
}

// Clients send requests to one router. They keep their connections.
type Clients struct {
	c      *Case
	router *Router

	mu   sync.Mutex
	idle []*clientConn
	wg   sync.WaitGroup
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// NewClients returns the clients of a router.
func (c *Case) NewClients(r *Router) *Clients { return &Clients{c: c, router: r} }

// NewID returns a fresh request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request and waits for its answer, for up to two seconds longer than its timeout.
func (s *Clients) Send(q Request) Result {
	r := Result{Request: q, ID: NewID()}
	conn, err := s.connection()
	if err != nil {
		r.Err, r.Ended = err, time.Now()
		return r
	}
	text := fmt.Sprintf("%s /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n",
		q.Method, r.ID, q.Class, q.Timeout.Milliseconds())
	body := ""
	if q.Method == http.MethodPost {
		body = "work of " + r.ID
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if q.Key != "" {
		text += "Idempotency-Key: " + q.Key + "\r\n"
	}
	_ = conn.SetDeadline(time.Now().Add(q.Timeout + 2*time.Second))
	_, err = conn.Write([]byte(text + "\r\n" + body))
	r.Sent = time.Now()
	s.c.NoteAt(r.Sent, "client sent %s (%s) to %s", r.ID, q.Class, s.router.Name)
	var answer *http.Response
	endedUnanswered := false
	if err == nil {
		_, err = conn.reader.Peek(1)
		endedUnanswered = errors.Is(err, io.EOF)
	}
	if err == nil {
		answer, err = http.ReadResponse(conn.reader, nil)
	}
	if err == nil {
		var text []byte
		text, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		r.Status, r.Body = answer.StatusCode, string(text)
	}
	r.Err, r.Ended = err, time.Now()
	s.c.NoteAt(r.Ended, "client got %d for %s from %s after %.1f ms: %.60q %v", r.Status, r.ID, s.router.Name,
		float64(r.Ended.Sub(r.Sent).Microseconds())/1000, r.Body, errText(err))
	if err != nil || answer.Close {
		r.ReadAndClosed = endedUnanswered && !conn.wasReset()
		_ = conn.Close()
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, conn)
	return r
}

// wasReset reports whether the router has reset a connection that it has ended. A reset follows the end at once.
func (c *clientConn) wasReset() bool {
	time.Sleep(30 * time.Millisecond)
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	if raw.Control(func(fd uintptr) { pending, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }) != nil {
		return true
	}
	return err != nil || pending != 0
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// connection returns an idle connection that the router has not closed, or a new one.
func (s *Clients) connection() (*clientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.idle) > 0 {
		conn := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		if _, err := conn.reader.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return conn, nil
			}
		}
		_ = conn.Close()
	}
	conn, err := net.DialTimeout("tcp", s.router.Address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// Load sends requests at a rate until stop is closed, and passes each result to done.
func (s *Clients) Load(perSecond float64, stop <-chan struct{}, next func() Request, done func(Result)) {
	for {
		wait := time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))
		select {
		case <-stop:
			s.wg.Wait()
			return
		case <-time.After(wait):
		}
		q := next()
		s.wg.Go(func() { done(s.Send(q)) })
	}
}

// Class is a class of requests in the settings.
type Class struct {
	Name, Semantics     string
	Aim, Deadline       time.Duration
	Window              time.Duration
	Importance, LateGet float64
}

// Settings are the settings of a small deployment, after the example of the wire's page. changes replaces single values
// of the objects.
func Settings(classes []Class, routers, rank int, changes map[string]Object) Object {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	categories := []Object{}
	for _, k := range classes {
		categories = append(categories, Object{"Name": k.Name, "Semantics": k.Semantics, "AimUs": us(k.Aim), "DeadlineUs": us(k.Deadline),
			"DedupScope": "all", "WindowUs": us(k.Window), "Importance": k.Importance, "LateValue": k.LateGet, "Stream": false})
	}
	s := Object{"Balancers": routers, "Rank": rank, "MyZone": "here", "Zones": []string{"here"}, "RegistryMode": "on_request",
		"Categories": categories, "Parties": []any{}, "Family": "rollout", "WeightKind": "rough", "WorthBy": "work",
		"Clients": Object{"MarksRetry": true}, "OverShareWorth": 0.1,
		"Report": Object{"How": "inline", "Fields": []string{"active"}},
		"Obligations": Object{"DrainGraceUs": 2000000, "ColdUs": 4800000, "StartCapacity": 0.33, "TipMultiple": 4.0,
			"OverloadForUs": 3000000, "AskWithinUs": 10000000, "AnswerSlackUs": 20000},
		"Permissions": Object{"MaxAttempts": 6, "MaxOpen": 20000, "RetryAfter": true, "MaxRetryAfterUs": 2000000, "Cancel": true,
			"Peers": false, "Probes": false, "SecondCopies": false, "ConnIdleUs": 15000000, "ConnectTimeoutUs": 250000},
		"Prices": Object{"CrossZone": 0.02, "Waste": 0.03},
		"Extra": Object{"Control": "share", "StageCap": []float64{0.036, 0.144, 0.48, 1}, "Waves": []float64{0.03, 0.12, 0.4, 1},
			"AyesNeeded": 2, "ToAbort": 1, "BakeUs": 2000000, "CallTimeoutUs": 2000000, "ExposureWindowUs": 6000000, "Free": 2.0,
			"GuardedStages": 1, "Counts": "all", "ReplaceMode": "beside", "RepeatEveryUs": 2000000, "VoteStandsUs": 10000000,
			"VoteAllowance": 30.0, "ComplaintShare": 0.3, "HarmFee": 6.0, "LagFee": 0.35, "KeysStay": false}}
	for name, values := range changes {
		for key, value := range values {
			if name == "" {
				s[key] = value
			} else {
				s[name].(Object)[key] = value
			}
		}
	}
	return s
}

// Config is a router's configuration file.
func Config(d *Discovery, p *Platform, settings Object) Object {
	return Object{"discovery": d.Address, "seed": NewID(), "limits": Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"platform": Object{"address": p.Address, "news": p.Status().Object()}, "known": d.List(), "settings": settings}
}
