// Package upstream is the hosts' side of a router: it keeps connections to hosts, sends tasks over them and knows how
// each send ended. One connection carries one task at a time, so that what a host's silence or a cut means is never
// mixed up between tasks.
//
// The fates, by what surely happened:
//
//	NeverSent   no byte was handed to the kernel: the task was withheld, or the connection refused the first write
//	NoLink      no connection in time, or none allowed
//	Finished    an answer below 500
//	TurnedBack  503 with Dapplefront-Unseen: 1
//	Errored     any other answer from 500, or one that is no HTTP or larger than the limit
//	NoAnswer    written, and silence until the time was up
//	Cut         written, and the connection ended before the answer was whole
//
// A host that closes an idle connection while a task is being written on it is told apart so: where its end has
// already arrived, the connection is dropped before the write and another one is used; where the write fails with no
// byte taken, the task never left. Once the kernel has taken a byte nobody on this side can know whether the host
// read it, so that is a Cut.
package upstream

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/orca"
	"dapplefront/internal/transport"
	"dapplefront/policy"
)

// Headers of this project's own protocol that are used beside the protocol table.
const (
	NotStartedHeader = "Dapplefront-Unseen" // 1 in a response says that the host has not started the request it rejects
	RouterHeader     = "Dapplefront-Router" // of a request: the router's name
)

// Config is what a pool is told of links.
type Config struct {
	ConnectTimeout        time.Duration // how long a connection may take
	IdleTimeout           time.Duration // how long one is kept without a task
	MaxConnectionsPerHost int           // to one host, at the most
	MaxConnections        int           // to all hosts, at the most; 0 for no bound
	Limits                http1.Limits  // of an answer
	Protocol              *Protocol     // how hosts are spoken to; nil for this project's own way
}

// ProtocolOrDefault is how hosts are spoken to.
func (r Config) ProtocolOrDefault() *Protocol {
	if r.Protocol == nil {
		return DefaultProtocol
	}
	return r.Protocol
}

// Protocol are what differs by protocol in how hosts are spoken to and what their answers mean.
type Protocol struct {
	Timeout, TimeoutUnit, Attempt, Router, Class string // fields of a send, and the unit of Within; empty for none

	ForwardedHeaders   bool   // Via and X-Forwarded-For tell whom a send comes from
	NotStarted         string // the field that says with 1 that a host has not looked at the task it turns back
	NotStartedStatuses []int  // the statuses that it may come with
	OnlyStatusOK       bool   // 200 alone is a success
	StartsWhenComplete bool   // a host begins once the last byte has arrived
	Load               func(*http1.Message) (*policy.LoadReport, error)
}

// DefaultProtocol is this project's own way.
var DefaultProtocol = &Protocol{Timeout: "Dapplefront-Within", TimeoutUnit: "ms", Attempt: "Dapplefront-Send", Router: RouterHeader,
	Class: "Dapplefront-Category", ForwardedHeaders: true, NotStarted: NotStartedHeader, NotStartedStatuses: []int{503}, Load: orcaLoad}

func orcaLoad(m *http1.Message) (*policy.LoadReport, error) {
	if text, ok := m.Lookup(orca.Header); ok {
		report, err := orca.Parse(text)
		if err != nil {
			return nil, err
		}
		return orca.Load(report), nil
	}
	if text, ok := m.Lookup(orca.BinHeader); ok {
		report, err := orca.ParseBin(text)
		if err != nil {
			return nil, err
		}
		return orca.Load(report), nil
	}
	return nil, nil
}

// fate is what an answer means.
func (s *Protocol) fate(m *http1.Message) policy.Outcome {
	unseen := ""
	if slices.Contains(s.NotStartedStatuses, m.Status) {
		unseen = m.Get(s.NotStarted)
	}
	switch {
	case unseen == "1":
		return policy.Rejected
	case m.Status >= 500 || m.Status == 101 || s.OnlyStatusOK && m.Status != 200:
		return policy.Failed
	}
	return policy.Succeeded
}

// Result is how a send ended.
type Result struct {
	Outcome  policy.Outcome
	Latency  policy.Time
	Response *http1.Message // with Finished, Errored and TurnedBack, where the host gave one; Drop it after use
	Load     *policy.LoadReport
	Reason   string // for the log, where something went wrong
}

// Pool keeps the connections to all hosts. Its methods are called from its loop's work only.
type Pool struct {
	loop   *eventloop.Loop
	engine *transport.Engine
	reach  Config
	budget *http1.Budget
	hosts  map[uint32]*host
	links  int         // open or being opened, in all
	rests  policy.Time // how long a link rests after an answer before it is used again
	closed bool
}

// A second copy of an answer may come some milliseconds behind the first, and answers don't say whose they are: what comes
// on a link that rests is nobody's, what comes on one in use would be taken for the answer of the request on it. So a link
// rests a while before it is used again, and twice as long as the latest such copy took, once one has been seen.
const (
	leastRest = 20 * policy.Second / 1000
	mostRest  = policy.Second
)

type host struct {
	id      uint32
	address string
	idle    []*upstreamConn
	links   int // open or being opened
}

// NewPool keeps connections on an engine; answers hold bytes of the budget.
func NewPool(l *eventloop.Loop, e *transport.Engine, reach Config, budget *http1.Budget) *Pool {
	reach.Protocol = reach.ProtocolOrDefault()
	p := &Pool{loop: l, engine: e, reach: reach, budget: budget, hosts: map[uint32]*host{}, rests: leastRest}
	p.sweepLater()
	return p
}

// SetAddress says where a host is. Links to another address are used no more.
func (p *Pool) SetAddress(id uint32, address string) {
	h := p.hosts[id]
	if h == nil {
		p.hosts[id] = &host{id: id, address: address}
	} else if h.address != address {
		h.address = address
		h.dropIdle(func(*upstreamConn) bool { return true })
	}
}

// Remove forgets a host that is gone. Sends on their way to it go on to their end.
func (p *Pool) Remove(id uint32) {
	if h := p.hosts[id]; h != nil {
		h.dropIdle(func(*upstreamConn) bool { return true })
		delete(p.hosts, id)
	}
}

// Connections is how many connections are open or being opened, in all.
func (p *Pool) Connections() int { return p.links }

// Close ends all idle links and refuses further sends; those out end as they may.
func (p *Pool) Close() {
	p.closed = true
	for _, h := range p.hosts {
		h.dropIdle(func(*upstreamConn) bool { return true })
	}
}

func (h *host) dropIdle(is func(*upstreamConn) bool) {
	kept := h.idle[:0]
	for _, l := range h.idle {
		if is(l) {
			l.drop()
		} else {
			kept = append(kept, l)
		}
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

func (p *Pool) sweepLater() {
	p.loop.After(policy.Second, func() {
		now := p.loop.Now()
		for _, h := range p.hosts {
			h.dropIdle(func(l *upstreamConn) bool { return now-l.free > eventloop.FromDuration(p.reach.IdleTimeout) })
		}
		if !p.closed {
			p.sweepLater()
		}
	})
}

// Attempt is a task on its way to a host.
type Attempt struct {
	pool     *Pool
	link     *upstreamConn
	head     []byte
	body     []byte
	bodyless bool
	at       policy.Time
	until    policy.Time // when its time is up
	alarm    *eventloop.Timer
	written  bool
	done     func(Result)
}

// Send sends head and body, which are the pool's until done is called, once, from the loop's work and never before Send
// has returned. The head's end is added as its bytes leave, with the field that says how long is waited for the answer:
// until then a connection may have taken its time. bodyless says that the answer has no body (HEAD).
func (p *Pool) Send(id uint32, head, body []byte, bodyless bool, within policy.Time, done func(Result)) *Attempt {
	now := p.loop.Now()
	s := &Attempt{pool: p, head: head, body: body, bodyless: bodyless, at: now, until: now + within, done: done}
	h := p.hosts[id]
	if h == nil || p.closed || within <= 0 {
		p.loop.Post(func() { s.end(Result{Outcome: policy.NotSent, Reason: "no such host or no time left"}) })
		return s
	}
	s.alarm = p.loop.After(within, s.timeUp)
	for n := len(h.idle) - 1; n >= 0; n-- { // the last one used of those that have rested
		l := h.idle[n]
		if now-l.free < p.rests {
			continue
		}
		h.idle = slices.Delete(h.idle, n, n+1)
		if !l.conn.Quiet() { // its end, or bytes that no one asked for, have arrived
			l.drop()
			continue
		}
		s.link, l.send = l, s
		p.loop.Post(s.write) // so that done never comes before the caller has the Send
		return s
	}
	if h.links >= p.reach.MaxConnectionsPerHost {
		p.loop.Post(func() { s.end(Result{Outcome: policy.ConnectFailed, Reason: "as many links as are allowed"}) })
		return s
	}
	if p.reach.MaxConnections > 0 && p.links >= p.reach.MaxConnections && !p.spare() {
		p.loop.Post(func() { s.end(Result{Outcome: policy.ConnectFailed, Reason: "as many links as are allowed in all"}) })
		return s
	}
	p.connect(h, s)
	return s
}

// spare ends the link that has been idle longest, to make room; false where none is idle.
func (p *Pool) spare() bool {
	var oldest *upstreamConn
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].free < oldest.free) {
			oldest = h.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.host.dropIdle(func(l *upstreamConn) bool { return l == oldest })
	return true
}

func (p *Pool) connect(h *host, s *Attempt) {
	l := &upstreamConn{pool: p, host: h, address: h.address, send: s, reader: http1.NewReader(p.reach.Limits, p.budget, true)}
	s.link = l
	h.links++
	p.links++
	p.engine.Dial(h.address, p.reach.ConnectTimeout, l, func(c *transport.Conn, err error) {
		p.loop.Post(func() { l.opened(c, err) })
	})
}

// Cancel ends a send as NeverSent if no byte of it has left; otherwise it does nothing.
func (s *Attempt) Cancel() {
	if s.done != nil && !s.written {
		s.end(Result{Outcome: policy.NotSent, Reason: "withheld"})
	}
}

// write puts the send on its link, which is open.
func (s *Attempt) write() {
	if s.done == nil || s.link == nil || s.link.send != s {
		return
	}
	l, left := s.link, s.until-s.pool.loop.Now()
	if !l.current() || left < policy.Second/1000 {
		l.send = nil
		s.end(Result{Outcome: policy.NotSent, Reason: "the host has left its address, or no time is left"})
		l.rest()
		return
	}
	l.mu.Lock()
	l.reader.Expect(s.bodyless)
	l.mu.Unlock()
	s.written = true
	signs := s.pool.reach.Protocol
	s.head = append(append(s.head, signs.Timeout...), ": "...)
	s.head = append(strconv.AppendInt(s.head, int64(left/(policy.Second/1000)), 10), signs.TimeoutUnit...)
	s.head = append(s.head, "\r\n\r\n"...)
	none, err := l.conn.Write(s.head, s.body)
	if err != nil && none {
		l.send = nil
		s.end(Result{Outcome: policy.NotSent, Reason: "the link was closed: " + err.Error()})
		l.drop()
	} // after a part, the link's end follows and tells
}

// heard is how long a host has to see that a send is given up before the task may go elsewhere: two sends must not seem
// out at once. Without it 8 of 157,000 tasks did, in a fleet's first second; the way there takes about a tenth of it.
const heard = policy.Second / 1000

func (s *Attempt) timeUp() {
	if s.done == nil {
		return
	}
	if !s.written {
		s.end(Result{Outcome: policy.ConnectFailed, Reason: "no connection in time"})
		return
	}
	l := s.link
	l.send = nil
	l.drop()
	s.alarm = s.pool.loop.After(heard, func() { s.end(Result{Outcome: policy.TimedOut, Reason: "no answer in time"}) })
}

// end tells the result, once. A link that is still being opened for it is left to whoever comes next.
func (s *Attempt) end(r Result) {
	if s.done == nil {
		if r.Response != nil {
			r.Response.Drop()
		}
		return
	}
	done := s.done
	s.done = nil
	s.pool.loop.Stop(s.alarm)
	if l := s.link; l != nil && l.send == s {
		l.send = nil
		if l.conn != nil && !l.gone {
			l.rest()
		}
	}
	s.head, s.body, s.link = nil, nil, nil
	r.Latency = s.pool.loop.Now() - s.at
	done(r)
}

// upstreamConn is one connection to a host. Its reader belongs to the poller, under mu; all else to the loop.
type upstreamConn struct {
	pool    *Pool
	host    *host
	address string
	conn    *transport.Conn
	send    *Attempt
	free    policy.Time // since when it has been idle
	gone    bool

	mu     sync.Mutex
	reader *http1.Reader
	ended  bool
}

func (l *upstreamConn) opened(c *transport.Conn, err error) {
	if err != nil {
		l.leave()
		if s := l.send; s != nil {
			l.send = nil
			s.end(Result{Outcome: policy.ConnectFailed, Reason: err.Error()})
		}
		return
	}
	l.conn = c
	switch {
	case l.gone: // opened and closed at once; the poller was quicker to tell
		if s := l.send; s != nil {
			l.send = nil
			s.end(Result{Outcome: policy.ConnectFailed, Reason: "closed as soon as opened"})
		}
	case l.send != nil:
		l.send.write()
	default:
		l.rest()
	}
}

// current tells whether the link's host is still known, and at the link's address.
func (l *upstreamConn) current() bool {
	return l.pool.hosts[l.host.id] == l.host && l.address == l.host.address
}

// unasked learns from an answer to nothing how long a second copy may take.
func (l *upstreamConn) unasked() {
	if p := l.pool; l.free > 0 {
		p.rests = min(max(p.rests, 2*(p.loop.Now()-l.free)), mostRest)
	}
}

// rest puts a link aside for the next send.
func (l *upstreamConn) rest() {
	p := l.pool
	if pending, _ := l.conn.Pending(); pending > 0 || p.closed || l.gone || !l.current() {
		l.drop()
		return
	}
	l.free = p.loop.Now()
	l.host.idle = append(l.host.idle, l)
}

func (l *upstreamConn) leave() {
	if !l.gone {
		l.gone = true
		l.host.links--
		l.pool.links--
	}
}

func (l *upstreamConn) drop() {
	l.leave()
	if l.conn != nil {
		l.conn.Close()
	}
}

// Data reads what a host sends (sock.Session).
func (l *upstreamConn) Data(data []byte) {
	if work := l.read(data); work != nil {
		l.pool.loop.Post(work)
	}
}

// read reads on and returns what the loop has to know. The lock is not held any more when the loop is told: its work
// may come to this very link.
func (l *upstreamConn) read(data []byte) (work func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.ended {
		n, event, err := l.reader.Read(data)
		data = data[n:]
		if err != nil {
			l.ended = true
			l.reader.Drop()
			return func() { l.broken(err) }
		}
		if event == http1.More {
			return nil
		}
		if event != http1.Whole {
			continue
		}
		m := l.reader.Take()
		if m.Status < 200 && m.Status != 101 { // on the way to an answer
			continue
		}
		more := len(data) > 0 // nothing was asked that this could answer
		return func() { l.answered(m, more) }
	}
	return nil
}

// Wrote is of no interest here (sock.Session).
func (l *upstreamConn) Wrote(int) {}

// Closed tells the loop that the connection has ended (sock.Session).
func (l *upstreamConn) Closed(err error) {
	l.mu.Lock()
	var m *http1.Message
	if !l.ended && l.reader.Ended() {
		m = l.reader.Take()
	}
	l.ended = true
	l.reader.Drop()
	l.mu.Unlock()
	l.pool.loop.Post(func() {
		l.leave()
		if m != nil {
			l.answered(m, true)
		}
		why := "the host closed the connection"
		if err != nil {
			why = err.Error()
		}
		if s := l.send; s != nil && l.conn != nil {
			l.send = nil
			unread, _ := l.conn.Pending()
			if s.written && (unread == 0 || !l.pool.reach.Protocol.StartsWhenComplete) {
				s.end(Result{Outcome: policy.ConnectionLost, Reason: why})
			} else {
				s.end(Result{Outcome: policy.NotSent, Reason: why})
			}
			return
		}
		l.host.dropIdle(func(x *upstreamConn) bool { return x == l })
	})
}

func (l *upstreamConn) broken(err error) {
	s := l.send
	l.send = nil
	if s == nil {
		l.unasked()
	}
	l.drop()
	if s != nil {
		s.end(Result{Outcome: policy.Failed, Reason: "the answer is not to be read: " + err.Error()})
	}
}

func (l *upstreamConn) answered(m *http1.Message, last bool) {
	s := l.send
	if s == nil || !s.written { // an answer to nothing
		l.unasked()
		m.Drop()
		l.host.dropIdle(func(x *upstreamConn) bool { return x == l })
		l.drop()
		if s != nil {
			l.send = nil
			s.end(Result{Outcome: policy.NotSent, Reason: "an answer came before the task was sent"})
		}
		return
	}
	l.send = nil
	signs := l.pool.reach.Protocol
	r := Result{Outcome: signs.fate(m), Response: m}
	load, err := signs.Load(m)
	if r.Load = load; err != nil { // a report that can't be read is none
		r.Reason = err.Error()
	}
	if last || m.Closes() || l.gone {
		l.drop()
	} else {
		l.rest()
	}
	s.end(r)
}
