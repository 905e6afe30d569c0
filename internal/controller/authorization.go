package controller

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"path"
	"slices"

	"go4.org/netipx"
)

// Role is a set of operations that a caller may use.
type Role string

// The roles, by their names in settings.
const (
	RoleRead     Role = "read"
	RoleVote     Role = "vote"
	RoleRelease  Role = "release"
	RoleWithdraw Role = "withdraw" // roll releases back
	RoleServe    Role = "serve"    // run hosts, steps and controllers
)

// Roles are all of them.
var Roles = []Role{RoleRead, RoleVote, RoleRelease, RoleWithdraw, RoleServe}

// Grant gives roles to callers whose certificate's common name matches one of CommonNames (path.Match) and whose address is
// in Networks; an empty field matches all.
type Grant struct {
	CommonNames []string
	Networks    *netipx.IPSet
	Roles       []Role
}

// Authorizer decides by certificates and networks which roles a caller has.
type Authorizer struct {
	ServerTLS *tls.Config // of this server; nil for plain HTTP, where no caller has a name
	ClientTLS *tls.Config // towards other controllers
	Grants    []Grant
	Peers     []string // patterns of controllers' names, which may call on behalf of others
}

// headerOnBehalfOf has the caller's name in a request that a controller forwards.
const headerOnBehalfOf = "Dapplefront-On-Behalf-Of"

// callerName is the common name of the caller's certificate, or of the caller for whom a controller forwards; "" for none.
func (a *Authorizer) callerName(r *http.Request) string {
	name := certificateName(r)
	if original := r.Header.Get(headerOnBehalfOf); original != "" && a.isPeer(name) {
		return original
	}
	return name
}

func (a *Authorizer) isPeer(name string) bool { return name != "" && matchesAny(a.Peers, name) }

// allows tells whether the caller has a role.
func (a *Authorizer) allows(r *http.Request, role Role) bool {
	name := a.callerName(r)
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	// The controller that forwarded the request has checked the network.
	networkChecked := r.Header.Get(headerOnBehalfOf) != "" && a.isPeer(certificateName(r))
	for _, grant := range a.Grants {
		named := len(grant.CommonNames) == 0 || matchesAny(grant.CommonNames, name)
		near := grant.Networks == nil || networkChecked || err == nil && grant.Networks.Contains(address.Addr().Unmap())
		if named && near && slices.Contains(grant.Roles, role) {
			return true
		}
	}
	return false
}

func certificateName(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return ""
	}
	return r.TLS.PeerCertificates[0].Subject.CommonName
}

// matchesAny tells whether a name matches one of some patterns of path.Match.
func matchesAny(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, err := path.Match(p, name)
		return ok && err == nil
	})
}
