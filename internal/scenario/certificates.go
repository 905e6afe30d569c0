package scenario

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"time"

	"dapplefront/internal/certs"
	"dapplefront/internal/controller"
	"dapplefront/internal/testbed"
)

// certificateTTL is how long a certificate is valid: longer than any scenario.
const certificateTTL = 2 * time.Hour

// grants are the roles of certificates by their common names: controllers and the scenario itself, routers, agents and
// clients.
var grants = []controller.Grant{
	{CommonNames: []string{"c?", "day"}, Roles: controller.Roles},
	{CommonNames: []string{"r*"}, Roles: []controller.Role{"read", "vote"}},
	{CommonNames: []string{"h*"}, Roles: []controller.Role{"read", "serve"}},
	{CommonNames: []string{"clients"}, Roles: []controller.Role{"read"}},
}

// certificateIssuer is a scenario's certificate authority. A nil issuer stands for a scenario without TLS.
type certificateIssuer struct{ authority *testbed.Authority }

func newCertificateIssuer(dir string) (*certificateIssuer, error) {
	folder := filepath.Join(dir, "keys")
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	authority, err := testbed.NewAuthority(folder)
	return &certificateIssuer{authority}, err
}

// issue issues a new certificate for a common name.
func (i *certificateIssuer) issue(name string) (certs.Files, error) {
	return i.authority.Issue(name, certificateTTL)
}

// ring issues a certificate and reads it back, as a program does at its start.
func (i *certificateIssuer) ring(name string) (*certs.Reloader, error) {
	files, err := i.issue(name)
	if err != nil {
		return nil, err
	}
	return certs.Open(files)
}

// clientTLS is the TLS configuration by which a name reaches the controllers; nil without TLS.
func (i *certificateIssuer) clientTLS(name string) (*tls.Config, error) {
	if i == nil {
		return nil, nil
	}
	ring, err := i.ring(name)
	if err != nil {
		return nil, err
	}
	return ring.Client(), nil
}
