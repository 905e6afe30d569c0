package controller

import (
	"crypto/tls"
	"net/http"
	"net/netip"
	"path"
	"slices"

	"go4.org/netipx"
)

// Role is a set of operations of the REST interface that a caller may use.
type Role string

// The roles. Their values are the names in settings.
const (
	RoleRead     Role = "read"
	RoleVote     Role = "vote"
	RoleRelease  Role = "release"
	RoleWithdraw Role = "withdraw" // roll releases back
	RoleServe    Role = "serve"    // manage hosts, steps and controllers
)

// Roles lists all roles.
var Roles = []Role{RoleRead, RoleVote, RoleRelease, RoleWithdraw, RoleServe}

// Grant gives roles to callers whose certificate's common name matches one of the patterns in CommonNames (path.Match) and
// whose address is in Networks. An empty field matches all callers.
type Grant struct {
	CommonNames []string
	Networks    *netipx.IPSet
	Roles       []Role
}

// Authorizer determines a caller's roles from its certificate and network.
type Authorizer struct {
	ServerTLS *tls.Config // for this server; nil means plain HTTP, where callers have no names
	ClientTLS *tls.Config // for requests to other controllers
	Grants    []Grant
	Peers     []string // patterns of the common names of controllers, which may send requests on behalf of other callers
}

// headerOnBehalfOf is the header with the original caller's name in a request that a controller forwards.
const headerOnBehalfOf = "Dapplefront-On-Behalf-Of"

// callerName returns the common name of the caller's certificate, or "" if the caller has none. For a request that another
// controller has forwarded, it returns the original caller's name.
func (a *Authorizer) callerName(r *http.Request) string {
	name := certificateName(r)
	if original := r.Header.Get(headerOnBehalfOf); original != "" && a.isPeer(name) {
		return original
	}
	return name
}

func (a *Authorizer) isPeer(name string) bool { return name != "" && matchesAny(a.Peers, name) }

// allows reports whether the caller has a role.
func (a *Authorizer) allows(r *http.Request, role Role) bool {
	name := a.callerName(r)
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	// The controller that forwarded the request has already checked the caller's network.
	networkChecked := r.Header.Get(headerOnBehalfOf) != "" && a.isPeer(certificateName(r))
	for _, grant := range a.Grants {
		nameMatches := len(grant.CommonNames) == 0 || matchesAny(grant.CommonNames, name)
		networkMatches := grant.Networks == nil || networkChecked || err == nil && grant.Networks.Contains(address.Addr().Unmap())
		if nameMatches && networkMatches && slices.Contains(grant.Roles, role) {
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

// matchesAny reports whether a name matches any of the patterns (path.Match).
func matchesAny(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(p string) bool {
		ok, err := path.Match(p, name)
		return ok && err == nil
	})
}
