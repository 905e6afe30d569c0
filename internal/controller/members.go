package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"dapplefront/control"
	"dapplefront/internal/api"
)

func (s *Server) joinRouter(w http.ResponseWriter, r *http.Request) error {
	return s.propose(w, control.Command{Kind: control.JoinRouter, Router: r.PathValue("router")}, http.StatusNoContent, nil)
}

func (s *Server) leaveRouter(w http.ResponseWriter, r *http.Request) error {
	return s.propose(w, control.Command{Kind: control.LeaveRouter, Router: r.PathValue("router")}, http.StatusNoContent, nil)
}

// addController adds a controller to the Raft group if the request has its address, and stores its URL if the request has one.
func (s *Server) addController(w http.ResponseWriter, r *http.Request) error {
	var request api.Controller
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	name := r.PathValue("name")
	if request.Address != "" {
		if err := s.node.AddMember(name, request.Address); err != nil {
			return &problem{status: http.StatusServiceUnavailable, field: "address", detail: err.Error()}
		}
	}
	if request.URL == "" {
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	return s.propose(w, control.Command{Kind: control.SetController, Name: name, Note: &request.URL}, http.StatusNoContent, nil)
}

func (s *Server) removeController(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	if err := s.node.RemoveMember(name); err != nil {
		return &problem{status: http.StatusServiceUnavailable, field: "name", detail: err.Error()}
	}
	return s.propose(w, control.Command{Kind: control.SetController, Name: name}, http.StatusNoContent, nil)
}

// announceInterval is the interval at which an instance checks whether the group knows its URL.
const announceInterval = 100 * time.Millisecond

// announceURL registers this instance's URL with the group whenever the group does not know it, until the server is closed.
func (s *Server) announceURL() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	name := s.node.config.Name
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		isLeader, _ := s.node.IsLeader()
		if s.node.controllerURL(name) == s.config.URL {
			continue
		}
		if isLeader {
			_, _ = s.node.Propose(control.Command{Kind: control.SetController, Name: name, Note: &s.config.URL}) // on failure, retried at the next tick
		} else {
			s.putToLeader(s.ctx, "/v1/controllers/"+url.PathEscape(name), api.Controller{URL: s.config.URL})
		}
	}
}

// renewMembership keeps a router that watches this instance a member: it reports the router to the leader about four times
// per RouterTimeout.
func (s *Server) renewMembership(router string) {
	timeout := time.Duration(s.node.config.Control.RouterTimeout) * clockUnit
	if router == "" || timeout == 0 {
		return
	}
	s.mu.Lock()
	due := time.Since(s.joinedAt[router]) > timeout/4
	if due {
		s.joinedAt[router] = time.Now()
	}
	s.mu.Unlock()
	if !due {
		return
	}
	s.goBackground(func() {
		if isLeader, _ := s.node.IsLeader(); isLeader {
			_, _ = s.node.Propose(control.Command{Kind: control.JoinRouter, Router: router}) // on failure, retried at the next renewal
			return
		}
		s.putToLeader(s.ctx, "/v1/routers/"+router, nil)
	})
}

// putToLeader sends a PUT request to the leader, if there is one. It ignores errors: callers repeat the request. If body is nil,
// the request has no body.
func (s *Server) putToLeader(ctx context.Context, path string, body any) {
	_, name := s.node.IsLeader()
	leader := s.node.controllerURL(name)
	if leader == "" {
		return
	}
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, leader+path, bytes.NewReader(text))
	if err != nil {
		return
	}
	if response, err := s.peerClient().Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// peerClient returns an HTTP client for requests to other controllers.
func (s *Server) peerClient() *http.Client {
	c := &http.Client{Timeout: peerTimeout}
	if a := s.config.Authorizer; a != nil && a.ClientTLS != nil {
		c.Transport = &http.Transport{TLSClientConfig: a.ClientTLS}
	}
	return c
}
