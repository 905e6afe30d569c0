// Package downstream is the clients' side of a router: it takes tasks as HTTP/1.1 and gives their answers. What a request
// says of itself is read here and nowhere else:
//
//	category   Dapplefront-Category, else by the longest path prefix
//	customer   Dapplefront-Customer, else by the client's network, the longest prefix
//	patience   Dapplefront-Patience ("240ms", or milliseconds), at most the category's own, which is also the default;
//	           counted from the request's first byte
//	mark       Idempotency-Key (draft-ietf-httpapi-idempotency-key-header); fingerprinted tasks must bear one
//	key        Dapplefront-Key: what the task concerns
//	hint       Dapplefront-Work: expected work ("12ms")
//	repeat     Dapplefront-Again: 1
//
// Every answer says in Dapplefront-Outcome what became of the task: finished, turned-back (trying again is
// harmless; Retry-After says when) or scrapped (nothing is promised). A request that is not taken as a task, because
// it is malformed, too large or of no category, is answered without that field.
package downstream

import (
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gaissmai/bart"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// Class is a category as clients meet it.
type Class struct {
	Name                   string
	Paths                  []string // prefixes of targets
	Timeout                policy.Time
	RequiresIdempotencyKey bool   // its tasks must bear a mark
	Method                 string // that they come by; empty for any
	ForbidsIdempotencyKey  bool   // they must bear no mark
}

// Network is where a customer's clients are.
type Network struct {
	Prefix netip.Prefix
	Tenant string
}

// Config is what a door is told of those who come.
type Config struct {
	Classes             []Class
	Networks            []Network
	Limits              http1.Limits
	TransferTimeout     time.Duration // how long a request may take to arrive, and an answer to be read
	IdleTimeout         time.Duration // how long a connection is kept without a task
	MaxConnections      int           // open connections, at the most
	MaxPipelined        int           // requests of one connection that are worked on at once
	RouterName          string        // of the router, for the Via field
	FirstRequestTimeout time.Duration // how long the first request of a connection may take to be whole; 0 for no such bound
	ReclaimIdleAfter    time.Duration // a connection that has been idle for so long goes when another needs its place; 0 for none
	Protocol            *Protocol     // nil for this project's own
}

// Request is a request that has come to the door as a task.
type Request struct {
	Message        *http1.Message
	Class          string
	Tenant         string
	IdempotencyKey string
	Key            string
	Timeout        policy.Time // from the moment the door hands it in
	ExpectedWork   policy.Time
	ClientRetry    bool
	From           netip.Addr

	// OnClientGone is called from the loop's work when the client has gone before the answer. Whoever takes a Call sets it.
	OnClientGone func()

	slot *pendingResponse
}

// Server takes requests on an engine's listeners. Its methods are called from its loop's work only.
type Server struct {
	loop     *eventloop.Loop
	welcome  Config
	budget   *http1.Budget
	take     func(*Request)
	kinds    map[string]*Class
	paths    []path // longest first
	networks *bart.Table[string]
	guests   map[*clientConn]bool
	words    *Protocol
	names    *[fields]string
	ids      map[string]*pendingResponse // open requests by their names
	open     int                         // slots without an answer
	ready    func() bool                 // nil for from the start
	closing  bool
	bowing   bool        // each answer ends its connection
	until    policy.Time // by which all is answered then; 0 for no bound
}

type path struct {
	prefix string
	kind   *Class
}

// NewServer hands tasks to take, from the loop's work. Whoever takes a Call owns its request from then on, and drops it
// when no send needs its body any more.
func NewServer(l *eventloop.Loop, w Config, budget *http1.Budget, take func(*Request)) *Server {
	d := &Server{loop: l, welcome: w, budget: budget, take: take, kinds: map[string]*Class{},
		networks: new(bart.Table[string]), guests: map[*clientConn]bool{}, words: w.Protocol, ids: map[string]*pendingResponse{}}
	if d.words == nil {
		d.words = DefaultProtocol
	}
	d.names = d.words.names()
	for i := range w.Classes {
		k := &w.Classes[i]
		d.kinds[k.Name] = k
		for _, p := range k.Paths {
			d.paths = append(d.paths, path{p, k})
		}
	}
	slices.SortStableFunc(d.paths, func(a, b path) int { return len(b.prefix) - len(a.prefix) })
	for _, n := range w.Networks {
		d.networks.Insert(n.Prefix, n.Tenant)
	}
	d.sweepLater()
	return d
}

// Close ends idle connections and turns back what still comes on others; Drained tells when that is over.
func (d *Server) Close() {
	d.StartDraining(d.until)
	d.closing = true
	d.shed()
}

// shed ends the connections on which nothing is under way.
func (d *Server) shed() {
	for g := range d.guests {
		if g.leaving == 0 {
			g.leaveIdle()
		}
	}
}

// Drained tells whether all that had come was answered and read: its clients have closed, or were given the time to.
func (d *Server) Drained() bool {
	d.shed()
	return len(d.guests) == 0
}

// SetReady sets what tells whether the router is ready.
func (d *Server) SetReady(ready func() bool) { d.ready = ready }

// StartDraining goes on as before, but each answer ends its connection, so that clients move elsewhere. Requests that come from
// now on are answered before until, as the process ends then; 0 for no such bound.
func (d *Server) StartDraining(until policy.Time) {
	d.bowing, d.until = true, until
	for g := range d.guests {
		if n := len(g.slots); n > 0 {
			g.slots[n-1].closes = true
		}
	}
}

// Open is how many requests wait for their answer.
func (d *Server) Open() int { return d.open }

// Connections is how many connections are open.
func (d *Server) Connections() int { return len(d.guests) }

// Accept is the session of a new connection (for sock.Engine.Accept).
func (d *Server) Accept(c *transport.Conn) transport.Session {
	g := &clientConn{door: d, conn: c, reader: http1.NewReader(d.welcome.Limits, d.budget, false)}
	if a, ok := c.Remote().(*net.TCPAddr); ok {
		g.from = a.AddrPort().Addr().Unmap()
	}
	g.came = d.loop.Now()
	g.heard.Store(int64(g.came))
	d.loop.Post(func() {
		if len(d.guests) >= d.welcome.MaxConnections && !d.room() {
			g.gone = true // what it has asked already is not worked on, as no answer can reach it
			c.Close()
			return
		}
		d.guests[g] = true
	})
	return g
}

// room ends the connection that can best be spared: one that has said nothing for longest, or was idle for longest.
// One with an open request, or with one on its way, stays.
func (d *Server) room() bool {
	if d.welcome.ReclaimIdleAfter <= 0 {
		return false
	}
	now, spare := d.loop.Now(), eventloop.FromDuration(d.welcome.ReclaimIdleAfter)
	var out *clientConn
	for g := range d.guests {
		heard := policy.Time(g.heard.Load())
		if g.leaving == 0 && (len(g.slots) > 0 || g.begun.Load() != 0 || now-heard < spare) {
			continue
		}
		if out == nil || out.asked && !g.asked || out.asked == g.asked && heard < policy.Time(out.heard.Load()) {
			out = g
		}
	}
	if out == nil || out.leaving == 0 {
		return out != nil && out.leaveIdle()
	}
	out.leave()
	return true
}

// sweepLater closes connections that are idle, and those that are too slow, some times a second.
func (d *Server) sweepLater() {
	d.loop.After(policy.Second/5, func() {
		d.sweep()
		d.sweepLater()
	})
}

func (d *Server) sweep() {
	const linger = policy.Second // to read the answer that was sent last
	now, slow, first := d.loop.Now(), eventloop.FromDuration(d.welcome.TransferTimeout), eventloop.FromDuration(d.welcome.FirstRequestTimeout)
	for g := range d.guests {
		heard, begun := policy.Time(g.heard.Load()), policy.Time(g.begun.Load())
		_, since := g.conn.Pending()
		late := first > 0 && !g.asked && now-g.came > first
		switch {
		case g.leaving != 0 && now-g.leaving > linger || !since.IsZero() && time.Since(since) > d.welcome.TransferTimeout:
			g.leave()
		case g.leaving != 0:
		case begun != 0 && (now-begun > slow || late):
			g.refuse(&http1.Error{Status: 408, Text: "the request took too long to arrive"})
		case begun == 0 && len(g.slots) == 0 && (now-heard > eventloop.FromDuration(d.welcome.IdleTimeout) || late):
			g.leaveIdle()
		}
	}
}

// called reads what a request says of itself; the task must be answered by patience from begun on.
func (d *Server) called(g *clientConn, m *http1.Message, begun policy.Time) {
	if d.bowing && len(g.slots) > 0 { // the newest one's answer ends the connection
		g.slots[len(g.slots)-1].closes = false
	}
	s := &pendingResponse{guest: g, closes: m.Closes() || d.bowing, headless: m.Method == "HEAD"}
	g.slots = append(g.slots, s)
	g.asked = true
	d.open++
	if w := d.words; w.ReadinessPath != "" && m.Method == "GET" && m.Target == w.ReadinessPath {
		m.Drop()
		if d.bowing || d.ready != nil && !d.ready() {
			s.refuse(&http1.Error{Status: 503, Text: "not ready"})
			return
		}
		s.text(appendStatus(make([]byte, 0, 128), 200, "OK"), "ready")
		return
	}
	c, wrong := d.read(g, m, begun)
	switch {
	case wrong != nil:
		m.Drop()
		s.refuse(wrong)
	case d.closing:
		m.Drop()
		c.Reject(0, "this router is closing")
	case len(g.slots) > d.welcome.MaxPipelined:
		m.Drop()
		c.Reject(policy.Second/10, "too many requests at once on one connection")
	default:
		c.slot, s.call = s, c
		d.take(c)
	}
}

func (d *Server) read(g *clientConn, m *http1.Message, begun policy.Time) (*Request, *http1.Error) {
	c := &Request{Message: m, OnClientGone: func() {}, slot: g.slots[len(g.slots)-1], From: g.from}
	w := d.words
	t, wrong := w.read(m, d.names)
	if wrong != nil {
		return nil, wrong
	}
	var kind *Class
	if t[category].there {
		if kind = d.kinds[t[category].value]; kind == nil {
			return nil, &http1.Error{Status: 400, Text: w.Class + " names none of the categories served here"}
		}
	}
	c.Tenant, c.Key, c.IdempotencyKey = t[customer].value, t[key].value, t[mark].value
	for i := 0; kind == nil && i < len(d.paths); i++ {
		if strings.HasPrefix(m.Target, d.paths[i].prefix) {
			kind = d.paths[i].kind
		}
	}
	switch {
	case kind == nil && w.Strict:
		return nil, &http1.Error{Status: 400, Text: w.Class + " is missing"}
	case kind == nil:
		return nil, &http1.Error{Status: 404, Text: "no category has this path"}
	case kind.RequiresIdempotencyKey && c.IdempotencyKey == "":
		return nil, &http1.Error{Status: 400, Text: "tasks of the category " + kind.Name + " need an " + w.IdempotencyKey}
	case kind.ForbidsIdempotencyKey && t[mark].there:
		return nil, &http1.Error{Status: 400, Text: "tasks of the category " + kind.Name + " bear no " + w.IdempotencyKey}
	case kind.Method != "" && m.Method != kind.Method:
		return nil, &http1.Error{Status: 405, Text: "tasks of the category " + kind.Name + " come by " + kind.Method}
	case kind.Method == "GET" && len(m.Body) > 0:
		return nil, &http1.Error{Status: 400, Text: "tasks of the category " + kind.Name + " have no body"}
	}
	if w.ID != "" {
		id := t[name].value
		if id == "" {
			return nil, &http1.Error{Status: 400, Text: w.ID + " is missing"}
		}
		if d.ids[id] != nil {
			return nil, &http1.Error{Status: 400, Text: w.ID + " is that of another request, which is still open"}
		}
		s := c.slot
		s.id, d.ids[id] = id, s
	}
	c.Class, c.ClientRetry, c.Timeout = kind.Name, t[again].value == "1", kind.Timeout
	if t[patience].value != "" || w.Strict {
		span, ok := w.span(t[patience].value)
		if !ok {
			return nil, &http1.Error{Status: 400, Text: w.Timeout + " is not a time above 0 such as 240ms, or milliseconds"}
		}
		c.Timeout = min(span, kind.Timeout) // more than its category's is not believed
	}
	if t[hint].value != "" {
		span, ok := w.work(t[hint].value)
		if !ok {
			return nil, &http1.Error{Status: 400, Text: w.ExpectedWork + " is not a time such as 12ms"}
		}
		c.ExpectedWork = span
	}
	now := d.loop.Now()
	if c.Timeout -= now - begun; d.until != 0 {
		c.Timeout = min(c.Timeout, d.until-now)
	}
	if c.Tenant == "" {
		c.Tenant, _ = d.networks.Lookup(g.from)
	}
	return c, nil
}

// readSpan reads a time with its unit, or whole milliseconds.
func readSpan(s string) (policy.Time, bool) {
	if n, err := strconv.ParseUint(s, 10, 32); err == nil {
		return policy.Time(n) * 10, true
	}
	d, err := time.ParseDuration(s)
	return eventloop.FromDuration(d), err == nil && d < time.Hour*24*365
}

// Respond answers with what a host said. host is the host's id.
func (c *Request) Respond(m *http1.Message, host uint32) {
	head := make([]byte, 0, 512)
	head = appendStatus(head, m.Status, m.Reason)
	w := c.slot.guest.door.words
	head = w.outcome(m.AppendFields(head, w.ours), "finished")
	if w.Host != "" {
		head = http1.AppendField(head, w.Host, strconv.FormatUint(uint64(host), 10))
	}
	if m.Status == 204 || m.Status == 304 || c.slot.headless {
		if v, ok := m.Lookup("Content-Length"); ok && m.Status != 204 {
			head = http1.AppendField(head, "Content-Length", v)
		}
		c.slot.answer(append(head, c.slot.ending()...), nil)
		return
	}
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, int64(len(m.Body)), 10)
	head = append(head, '\r', '\n')
	c.slot.answer(append(head, c.slot.ending()...), m.Body)
}

// Reject answers that trying again is harmless, best after stay.
func (c *Request) Reject(stay policy.Time, why string) {
	head := appendStatus(make([]byte, 0, 256), 503, "Service Unavailable")
	w := c.slot.guest.door.words
	head = w.stay(w.outcome(head, "turned-back"), stay)
	c.slot.text(head, why)
}

// Fail answers that nothing is promised; late says that the time was up.
func (c *Request) Fail(late bool) {
	status, reason, why := 502, "Bad Gateway", "the task may have run or not"
	if late {
		status, reason, why = 504, "Gateway Timeout", "no answer in time; the task may have run or not"
	}
	head := appendStatus(make([]byte, 0, 256), status, reason)
	c.slot.text(c.slot.guest.door.words.outcome(head, "scrapped"), why)
}

func appendStatus(to []byte, status int, reason string) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, reason...)
	return append(to, '\r', '\n')
}
