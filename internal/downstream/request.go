package downstream

import (
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"dapplefront/internal/http1"
	"dapplefront/policy"
)

// responseHeadCapacity is the number of bytes that are reserved for a response's head.
const responseHeadCapacity = 512

// Request is a request that a server passes to its handler. It gets one final response, through Respond, Reject or Fail.
type Request struct {
	Message        *http1.Message
	ID             string // the id that the client gave the request; empty if the protocol has none
	Class          string
	Tenant         string
	IdempotencyKey string
	Key            string
	Timeout        policy.Time // the time that is left when the server calls the handler
	ArrivedAt      policy.Time // when the request's first byte arrived
	Deadline       policy.Time // when the request's timeout expires, which is counted from its first byte
	ExpectedWork   policy.Time
	ClientRetry    bool
	RemoteIP       netip.Addr
	Client         uint64 // number of the client's connection, from 1

	// OnClientDisconnected is called from work of the loop if the client disconnects before the response. The handler sets it.
	OnClientDisconnected func()

	pending *pendingResponse
}

// ClientDisconnected reports whether the client has disconnected. It asks the kernel, because the end of the client's stream
// may have arrived without having been read yet. It must be called from work of the loop.
func (r *Request) ClientDisconnected() bool {
	c := r.pending.conn
	return c.state == connClosed || c.conn.PeerClosed()
}

// inputSettleTime is how long nothing may arrive until a client counts as having sent all that it wrote before. A client whose
// bytes filled the receive window sends the next ones as soon as some have been read.
const inputSettleTime = 2 * ticksPerMs

// InputSettled reports whether all that the client has sent has been read. Until then, it may have disconnected although
// ClientDisconnected does not report it. It must be called from work of the loop.
func (r *Request) InputSettled() bool {
	c := r.pending.conn
	return c.state == connClosed ||
		!c.conn.Unread() && c.server.loop.Now()-policy.Time(c.lastReadAt.Load()) >= inputSettleTime
}

// Abandon closes the connection of a client that has disconnected, and abandons all its requests: OnClientDisconnected is
// called, unless it was called before. It must be called from work of the loop.
func (r *Request) Abandon() { r.pending.conn.disconnected() }

// Complete ends a request that was passed to the handler: it has its response or its client has disconnected, and no attempt
// of it is in flight. executed means that it may have run and that its client was not sent a host's response: requests with
// the same id are then refused for a while. Complete must be called once, from work of the loop.
func (r *Request) Complete(executed bool) { r.pending.freeID(executed) }

// requestReceived handles a complete request, whose first byte arrived at startedAt.
func (s *Server) requestReceived(c *clientConn, m *http1.Message, startedAt policy.Time) {
	isDraining := s.state >= draining
	c.rejectsRequests = c.rejectsRequests && len(s.conns) > s.config.MaxConnections
	if isDraining && len(c.pending) > 0 { // only the response to the newest request closes the connection
		c.pending[len(c.pending)-1].closeAfter = false
	}
	p := &pendingResponse{conn: c, closeAfter: m.Closes() || isDraining || c.rejectsRequests, omitBody: m.Method == http.MethodHead}
	c.pending = append(c.pending, p)
	c.hadRequest = true
	s.unanswered++
	if path := s.protocol.ReadinessPath; path != "" && m.Method == http.MethodGet && m.Target == path {
		m.Drop()
		if isDraining || s.ready != nil && !s.ready() {
			p.refuse(&http1.Error{Status: http.StatusServiceUnavailable, Text: "not ready"})
			return
		}
		p.respondText(appendStatus(make([]byte, 0, 128), http.StatusOK, "OK"), "ready")
		return
	}
	r, err := s.parseRequest(c, m, startedAt)
	switch {
	case err != nil:
		m.Drop()
		s.log.Log(slog.LevelDebug, "request refused", "request", m.Get(s.protocol.ID), "client", c.remoteIP, "status", err.Status, "reason", err.Text)
		p.refuse(err)
	case s.state == closing:
		m.Drop()
		s.refusedClosing++
		s.log.Log(slog.LevelInfo, "request refused", "request", r.ID, "class", r.Class, "reason", "the router is closing")
		r.Reject(0, "this router is closing")
	case c.rejectsRequests:
		m.Drop()
		s.log.Log(slog.LevelInfo, "request refused", "request", r.ID, "class", r.Class, "reason", "the limit on client connections is reached")
		r.Reject(pipelineRetry, "too many connections")
	case len(c.pending) > s.config.MaxPipelined:
		m.Drop()
		r.Reject(pipelineRetry, "too many requests at once on one connection")
	default:
		p.request, p.handled = r, true
		s.handler(r)
	}
}

// parseRequest parses the headers that describe a request. The last pending response of c must be that of the request.
func (s *Server) parseRequest(c *clientConn, m *http1.Message, startedAt policy.Time) (*Request, *http1.Error) {
	r := &Request{Message: m, OnClientDisconnected: func() {}, pending: c.pending[len(c.pending)-1], RemoteIP: c.remoteIP, Client: c.number}
	headers, err := s.protocol.readHeaders(m, s.headers)
	if err != nil {
		return nil, err
	}
	class, err := s.classOf(m, &headers)
	if err != nil {
		return nil, err
	}
	r.Class, r.Tenant, r.Key = class.Name, headers[tenantHeader].value, headers[keyHeader].value
	r.IdempotencyKey = headers[idempotencyKeyHeader].value
	r.ClientRetry = headers[clientRetryHeader].value == "1"
	if err := s.checkClass(class, m, &headers); err != nil {
		return nil, err
	}
	if err := s.registerID(r.pending, headers[idHeader].value); err != nil {
		return nil, err
	}
	if err := s.readTimes(r, class, &headers); err != nil {
		return nil, err
	}
	now := s.loop.Now()
	r.ID, r.ArrivedAt, r.Deadline = r.pending.id, startedAt, startedAt+r.Timeout
	if r.Timeout -= now - startedAt; s.deadline != 0 {
		r.Timeout = min(r.Timeout, s.deadline-now)
	}
	if r.Tenant == "" {
		r.Tenant, _ = s.networks.Lookup(c.remoteIP)
	}
	return r, nil
}

// classOf returns a request's class, by its header or else by its path.
func (s *Server) classOf(m *http1.Message, headers *requestHeaders) (*Class, *http1.Error) {
	if headers[classHeader].present {
		class := s.classes[headers[classHeader].value]
		if class == nil {
			return nil, badRequest(s.protocol.Class + " names none of the categories served here")
		}
		return class, nil
	}
	for i := range s.routes {
		if strings.HasPrefix(m.Target, s.routes[i].prefix) {
			return s.routes[i].class, nil
		}
	}
	if s.protocol.Strict {
		return nil, badRequest(s.protocol.Class + " is missing")
	}
	return nil, &http1.Error{Status: http.StatusNotFound, Text: "no category has this path"}
}

// checkClass checks that a request meets the requirements of its class.
func (s *Server) checkClass(class *Class, m *http1.Message, headers *requestHeaders) *http1.Error {
	key := headers[idempotencyKeyHeader]
	switch {
	case class.RequiresIdempotencyKey && key.value == "":
		return badRequest("tasks of the category " + class.Name + " need an " + s.protocol.IdempotencyKey)
	case class.ForbidsIdempotencyKey && key.present:
		return badRequest("tasks of the category " + class.Name + " bear no " + s.protocol.IdempotencyKey)
	case class.Method != "" && m.Method != class.Method:
		return &http1.Error{Status: http.StatusMethodNotAllowed, Text: "tasks of the category " + class.Name + " come by " + class.Method}
	case class.Method == http.MethodGet && len(m.Body) > 0:
		return badRequest("tasks of the category " + class.Name + " have no body")
	}
	return nil
}

// registerID registers the id that the client gave a request, if the protocol has ids. Two open requests can't have the same
// id, and a request can't have the id of one that may have run although its client was not sent a host's response.
func (s *Server) registerID(p *pendingResponse, id string) *http1.Error {
	switch {
	case s.protocol.ID == "":
		return nil
	case id == "":
		return badRequest(s.protocol.ID + " is missing")
	case s.ids.isOpen(id):
		return badRequest(s.protocol.ID + " is that of another request, which is still open")
	case s.ids.mayHaveRun(id, s.loop.Now()):
		return badRequest(s.protocol.ID + " is that of another request, which may have run")
	}
	s.ids.add(id)
	p.id = id
	return nil
}

// readTimes sets a request's timeout and its expected work from its headers and its class.
func (s *Server) readTimes(r *Request, class *Class, headers *requestHeaders) *http1.Error {
	r.Timeout = class.Timeout
	if text := headers[timeoutHeader].value; text != "" || s.protocol.Strict {
		timeout, ok := s.protocol.parseTimeout(text)
		if !ok {
			return badRequest(s.protocol.Timeout + " is not a time above 0 such as 240ms, or milliseconds")
		}
		r.Timeout = min(timeout, class.Timeout)
	}
	if text := headers[expectedWorkHeader].value; text != "" {
		work, ok := s.protocol.parseWork(text)
		if !ok {
			return badRequest(s.protocol.ExpectedWork + " is not a time such as 12ms")
		}
		r.ExpectedWork = work
	}
	return nil
}

func badRequest(text string) *http1.Error {
	return &http1.Error{Status: http.StatusBadRequest, Text: text}
}

// Respond responds with a host's response. host is the host's id.
func (r *Request) Respond(m *http1.Message, host uint32) {
	head := make([]byte, 0, responseHeadCapacity)
	head = appendStatus(head, m.Status, m.Reason)
	protocol := r.pending.conn.server.protocol
	head = protocol.appendOutcome(m.AppendFields(head, protocol.isOwnHeader), outcomeSucceeded)
	if protocol.Host != "" {
		head = http1.AppendField(head, protocol.Host, strconv.FormatUint(uint64(host), 10))
	}
	if m.Status == http.StatusNoContent || m.Status == http.StatusNotModified || r.pending.omitBody {
		if v, ok := m.Lookup("Content-Length"); ok && m.Status != http.StatusNoContent {
			head = http1.AppendField(head, "Content-Length", v)
		}
		r.pending.respond(append(head, r.pending.endOfHead()...), nil)
		return
	}
	head = append(head, "Content-Length: "...)
	head = strconv.AppendInt(head, int64(len(m.Body)), 10)
	head = append(head, '\r', '\n')
	r.pending.respond(append(head, r.pending.endOfHead()...), m.Body)
}

// Reject responds that the request has not run and is safe to retry, preferably after retryAfter. If retryAfter is 0, the
// response does not say when.
func (r *Request) Reject(retryAfter policy.Time, reason string) {
	head := appendStatus(make([]byte, 0, 256), http.StatusServiceUnavailable, "Service Unavailable")
	protocol := r.pending.conn.server.protocol
	head = protocol.appendRetryAfter(protocol.appendOutcome(head, outcomeRejected), retryAfter)
	r.pending.respondText(head, reason)
}

// Fail responds that the request may have run or not. timedOut means that no host responded before the timeout.
func (r *Request) Fail(timedOut bool) {
	status, phrase, reason := http.StatusBadGateway, "Bad Gateway", "the task may have run or not"
	if timedOut {
		status, phrase, reason = http.StatusGatewayTimeout, "Gateway Timeout", "no answer in time; the task may have run or not"
	}
	head := appendStatus(make([]byte, 0, 256), status, phrase)
	r.pending.respondText(r.pending.conn.server.protocol.appendOutcome(head, outcomeFailed), reason)
}
