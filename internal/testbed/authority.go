package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"path/filepath"
	"time"

	"dapplefront/internal/atomicfile"
	"dapplefront/internal/certs"
)

const (
	privateFileMode   = 0o600
	serialBits        = 100
	authorityValidity = 24 * time.Hour
	clockTolerance    = time.Hour // NotBefore is this long before the time of issue, to allow for clock differences
)

// Authority is a certificate authority for scenarios and tests, valid for a day. It keeps its files in a directory.
type Authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// NewAuthority creates an authority with a new key and writes its certificate into a directory, which must exist.
func NewAuthority(dir string) (*Authority, error) {
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(authorityValidity), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a := &Authority{dir: dir, cert: template}
	key, raw, err := a.sign(template)
	if err != nil {
		return nil, err
	}
	a.key = key
	return a, writePEM(a.File(), "CERTIFICATE", raw)
}

// File returns the path of the authority's own certificate, in PEM.
func (a *Authority) File() string { return filepath.Join(a.dir, "authority.pem") }

// Issue writes a certificate for a name and 127.0.0.1, and its key. The certificate is for clients and servers and expires
// after validity. Issue replaces files that it wrote for the same name before.
func (a *Authority) Issue(name string, validity time.Duration) (certs.Files, error) {
	files := certs.Files{
		Certificate: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), Authority: a.File(),
	}
	key, raw, err := a.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageDigitalSignature,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return files, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, fmt.Errorf("issue %s: %w", name, err)
	}
	if err := writePEM(files.Key, "EC PRIVATE KEY", der); err != nil {
		return files, err
	}
	return files, writePEM(files.Certificate, "CERTIFICATE", raw)
}

// sign generates a key and a certificate for it from a template, in which it sets the serial number and NotBefore. The
// authority's own certificate is created before a.key is set and is therefore self-signed with the new key.
func (a *Authority) sign(template *x509.Certificate) (key *ecdsa.PrivateKey, certificate []byte, err error) {
	if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, nil, fmt.Errorf("generate key of %s: %w", template.Subject, err)
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return nil, nil, fmt.Errorf("generate serial number of %s: %w", template.Subject, err)
	}
	template.NotBefore = time.Now().Add(-clockTolerance)
	signer := a.key
	if signer == nil {
		signer = key
	}
	if certificate, err = x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, signer); err != nil {
		return nil, nil, fmt.Errorf("create certificate of %s: %w", template.Subject, err)
	}
	return key, certificate, nil
}

func writePEM(file, kind string, der []byte) error {
	return atomicfile.Write(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), privateFileMode)
}
