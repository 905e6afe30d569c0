package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"path/filepath"
	"time"

	"dapplefront/internal/atomicfile"
	"dapplefront/internal/certs"
)

// Authority is a certificate authority for days and tests, which keeps its files in a directory.
type Authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	raw  []byte
}

// NewAuthority makes one.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	cert := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, key: key, cert: cert, raw: raw}
	return a, atomicfile.Write(a.File(), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600)
}

func serial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 100))
	if err != nil {
		panic(err) // no randomness: nothing can go on
	}
	return n
}

// File is the authority's own certificate.
func (a *Authority) File() string { return filepath.Join(a.dir, "authority.pem") }

// Issue writes a certificate for a name, which runs out after a while, over the one before.
func (a *Authority) Issue(name string, lasts time.Duration) (certs.Files, error) {
	f := certs.Files{Certificate: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), Authority: a.File()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	cert := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(lasts), KeyUsage: x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		DNSNames: []string{name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, err
	}
	if err := atomicfile.Write(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600); err != nil {
		return f, err
	}
	return f, atomicfile.Write(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600)
}
