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

// trust is a day's certificate authority.
type trust struct{ authority *testbed.Authority }

// grants are who may do what in a day: by the names that certificates are made out to.
var grants = []controller.Grant{{CommonNames: []string{"c?", "day"}, Roles: controller.Roles}, {CommonNames: []string{"r*"}, Roles: []controller.Role{"read", "vote"}},
	{CommonNames: []string{"h*"}, Roles: []controller.Role{"read", "serve"}}, {CommonNames: []string{"clients"}, Roles: []controller.Role{"read"}}}

func newTrust(dir string) (*trust, error) {
	at := filepath.Join(dir, "keys")
	if err := os.MkdirAll(at, 0o700); err != nil {
		return nil, err
	}
	a, err := testbed.NewAuthority(at)
	return &trust{a}, err
}

// files are a certificate for a name, made anew.
func (t *trust) files(name string) (certs.Files, error) { return t.authority.Issue(name, 2*time.Hour) }

func (t *trust) ring(name string) (*certs.Reloader, error) {
	f, err := t.files(name)
	if err != nil {
		return nil, err
	}
	return certs.Open(f)
}

// client is how a name reaches the controllers; nil where a day does without TLS.
func (t *trust) client(name string) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	ring, err := t.ring(name)
	if err != nil {
		return nil, err
	}
	return ring.Client(), nil
}
