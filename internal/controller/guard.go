package controller

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"path"
	"slices"

	"go4.org/netipx"
)

// Role is what a caller may do.
type Role string

const (
	RoleRead     Role = "read"
	RoleVote     Role = "vote"
	RoleRelease  Role = "release"
	RoleWithdraw Role = "withdraw"
	RoleServe    Role = "serve" // run hosts, steps and controllers
)

// Roles are all of them.
var Roles = []Role{RoleRead, RoleVote, RoleRelease, RoleWithdraw, RoleServe}

// Grant lets callers do something: those whose certificate's common name fits Names (as path.Match has it) and whose
// address is in Networks; an empty field fits all.
type Grant struct {
	CommonNames []string
	Networks    *netipx.IPSet
	Roles       []Role
}

// Authorizer says who may do what, by certificates and networks.
type Authorizer struct {
	ServerTLS *tls.Config // of this server; nil for plain HTTP, where no one has a name
	ClientTLS *tls.Config // towards other controllers
	Grants    []Grant
	Peers     []string // names of controllers, which may speak on behalf of others
}

const onBehalf = "Dapplefront-On-Behalf-Of"

// who is the name of a caller: of its certificate, or as a controller that passes a call on tells it.
func (g *Authorizer) who(r *http.Request) string {
	name := ""
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		name = r.TLS.PeerCertificates[0].Subject.CommonName
	}
	if on := r.Header.Get(onBehalf); on != "" && g.peer(name) {
		return on
	}
	return name
}

func (g *Authorizer) peer(name string) bool {
	return slices.ContainsFunc(g.Peers, func(p string) bool { ok, _ := path.Match(p, name); return ok && name != "" })
}

// may tells whether a caller has a role.
func (g *Authorizer) may(r *http.Request, role Role) bool {
	name := g.who(r)
	at, err := netip.ParseAddrPort(r.RemoteAddr)
	passed := r.Header.Get(onBehalf) != "" // the controller that passed it on has looked at the network
	for _, grant := range g.Grants {
		fits := len(grant.CommonNames) == 0 || slices.ContainsFunc(grant.CommonNames, func(p string) bool { ok, _ := path.Match(p, name); return ok })
		near := grant.Networks == nil || passed && g.peer(peerName(r)) || err == nil && grant.Networks.Contains(at.Addr().Unmap())
		if fits && near && slices.Contains(grant.Roles, role) {
			return true
		}
	}
	return false
}

func peerName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

// handler is what answers a request, the role that it takes, and whether only the instance that leads can.
type handler struct {
	role  Role
	do    http.HandlerFunc
	leads bool
}

// guarded lets only those through who may; every refusal is logged with who and why. What only the leader can do is
// passed on to it.
func (s *Server) guarded(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if g := s.config.Authorizer; g != nil && !g.may(r, h.role) {
			s.log.Warn("a call is refused", "who", g.who(r), "from", r.RemoteAddr, "call", r.Method+" "+r.URL.Path, "lacks", h.role)
			problem(w, http.StatusForbidden, "", "the role "+string(h.role)+" is needed")
			return
		}
		if h.leads && s.pass(w, r) {
			return
		}
		h.do(w, r)
	}
}
