package controller

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"

	"dapplefront/control"
)

// servedBy specifies which instances can serve an operation.
type servedBy int

const (
	anyInstance servedBy = iota
	onLeader             // followers forward the request to the leader
)

// operation is one operation of the REST interface.
type operation struct {
	role   Role // role that the caller needs
	by     servedBy
	handle func(w http.ResponseWriter, r *http.Request) error
}

// middleware checks the caller's role, forwards requests that only the leader can serve, and returns errors as problem
// documents.
func (s *Server) middleware(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := s.authorize(r, op.role)
		if err == nil && op.by == onLeader {
			err = s.forwardToLeader(w, r)
		}
		if err == nil {
			err = op.handle(w, r)
		}
		if err != nil && !errors.Is(err, errResponseWritten) {
			writeProblem(w, err)
		}
	}
}

// authorize checks the caller's role. Every request that is denied is logged.
func (s *Server) authorize(r *http.Request, role Role) error {
	a := s.config.Authorizer
	if a == nil || a.allows(r, role) {
		return nil
	}
	s.log.Warn("a call is refused", "who", a.callerName(r), "from", r.RemoteAddr, "call", r.Method+" "+r.URL.Path, "lacks", role)
	return &problem{status: http.StatusForbidden, detail: "the role " + string(role) + " is needed"}
}

// headerForwarded marks forwarded requests. A request is forwarded only once, even if the leader has changed meanwhile.
const headerForwarded = "Dapplefront-Passed"

// forwardToLeader returns nil on the leader. On a follower it forwards the request to the leader and returns
// errResponseWritten, or another error if there is no leader to forward to.
func (s *Server) forwardToLeader(w http.ResponseWriter, r *http.Request) error {
	isLeader, leader := s.node.IsLeader()
	if isLeader {
		return nil
	}
	to := s.node.controllerURL(leader)
	if to == "" || leader == s.node.config.Name || r.Header.Get(headerForwarded) != "" {
		return ErrNoLeader
	}
	target, err := url.Parse(to)
	if err != nil { // no Retry-After: a retry would fail because of the same invalid URL
		return &problem{status: http.StatusServiceUnavailable, detail: ErrNoLeader.Error()}
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(p *httputil.ProxyRequest) {
			p.SetURL(target)
			p.Out.Header.Set(headerForwarded, s.node.config.Name)
			if a := s.config.Authorizer; a != nil {
				p.Out.Header.Set(headerOnBehalfOf, a.callerName(r))
			}
		},
		Transport: s.peerClient().Transport,
		ErrorLog:  log.New(io.Discard, "", 0),
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
			var op *net.OpError
			if errors.As(err, &op) && op.Op == "dial" {
				writeProblem(w, ErrNoLeader)
			} else {
				writeProblem(w, ErrOutcomeUnknown)
			}
		},
	}
	proxy.ServeHTTP(w, r)
	return errResponseWritten
}

// checkFreshness prepares the response to a read: it sets a header with the maximum age of the state that is read. With
// ?fresh=1 only the leader responds, after it has verified that its state is the newest.
func (s *Server) checkFreshness(w http.ResponseWriter, r *http.Request) error {
	if r.URL.Query().Get("fresh") == "1" {
		if err := s.forwardToLeader(w, r); err != nil {
			return err
		}
		if err := s.node.VerifyLeader(); err != nil {
			return err
		}
	}
	w.Header().Set("Dapplefront-Behind-Ms", strconv.FormatInt(s.node.ReplicationLag().Milliseconds(), 10))
	return nil
}

// propose makes a change and responds with the given status, or with 200 instead of 201 if the change repeats an earlier one.
// body returns the response body; if it is nil, the response has none.
func (s *Server) propose(w http.ResponseWriter, c control.Command, status int, body func(control.Reply) any) error {
	reply, err := s.node.Propose(c)
	if err != nil {
		return err
	}
	if reply.Release != nil {
		w.Header().Set("ETag", reply.Release.ETag())
	}
	if reply.Repeated && status == http.StatusCreated {
		status = http.StatusOK
	}
	if body == nil {
		w.WriteHeader(status)
		return nil
	}
	writeJSON(w, status, body(reply))
	return nil
}
