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

// certificateTTL is the validity period of a certificate, which is longer than any scenario.
const certificateTTL = 2 * time.Hour

// grants maps the common names of certificates to roles. In order: controllers and the scenario itself, routers, agents,
// clients.
var grants = []controller.Grant{
	{CommonNames: []string{"c?", "day"}, Roles: controller.Roles},
	{CommonNames: []string{"r*"}, Roles: []controller.Role{"read", "vote"}},
	{CommonNames: []string{"h*"}, Roles: []controller.Role{"read", "serve"}},
	{CommonNames: []string{"clients"}, Roles: []controller.Role{"read"}},
}

// certificateIssuer is a scenario's certificate authority. A nil issuer means that the scenario does not use TLS.
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

// reloader issues a certificate and reads it from its files, as a program does when it starts.
func (i *certificateIssuer) reloader(name string) (*certs.Reloader, error) {
	files, err := i.issue(name)
	if err != nil {
		return nil, err
	}
	return certs.Open(files)
}

// clientTLS returns the TLS configuration for connections to the controllers under a common name; nil without TLS.
func (i *certificateIssuer) clientTLS(name string) (*tls.Config, error) {
	if i == nil {
		return nil, nil
	}
	reloader, err := i.reloader(name)
	if err != nil {
		return nil, err
	}
	return reloader.Client(), nil
}
