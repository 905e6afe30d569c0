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

// answeredBy is which instance answers an operation.
type answeredBy int

const (
	anyInstance answeredBy = iota
	onLeader               // followers forward it to the leader
)

// operation is one operation of the REST interface.
type operation struct {
	role   Role // that the caller needs
	by     answeredBy
	handle func(w http.ResponseWriter, r *http.Request) error
}

// middleware checks the caller's role, forwards what only the leader can answer, and answers errors as problem documents.
func (s *Server) middleware(op operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		err := s.authorize(r, op.role)
		if err == nil && op.by == onLeader {
			err = s.forwardToLeader(w, r)
		}
		if err == nil {
			err = op.handle(w, r)
		}
		if err != nil && !errors.Is(err, errAnswered) {
			writeProblem(w, err)
		}
	}
}

// authorize checks the caller's role. Every refusal is logged.
func (s *Server) authorize(r *http.Request, role Role) error {
	a := s.config.Authorizer
	if a == nil || a.allows(r, role) {
		return nil
	}
	s.log.Warn("a call is refused", "who", a.callerName(r), "from", r.RemoteAddr, "call", r.Method+" "+r.URL.Path, "lacks", role)
	return &problem{status: http.StatusForbidden, detail: "the role " + string(role) + " is needed"}
}

// headerForwarded is set on forwarded requests. They are forwarded once: the leader may have changed meanwhile.
const headerForwarded = "Dapplefront-Passed"

// forwardToLeader returns nil on the leader. Elsewhere it has the leader answer the request and returns errAnswered, or
// another error if there is no leader to ask.
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
	if err != nil { // without Retry-After: this URL stays as it is
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
	return errAnswered
}

// checkFreshness prepares the answer to a read: a header tells how old what is read may be. With ?fresh=1 the leader alone
// answers, surely with the newest state.
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

// propose makes a change and answers it with a status, 200 in place of 201 for a repeated one, and with the body, if there
// is one.
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
