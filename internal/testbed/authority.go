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

const (
	serialBits        = 100
	authorityValidity = 24 * time.Hour
	clockTolerance    = time.Hour // certificates are valid this long before they are issued
)

// Authority is a certificate authority for scenarios and tests, valid for a day. It keeps its files in a directory.
type Authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// NewAuthority makes an authority with a new key and writes its certificate into a directory, which must exist.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	cert := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-clockTolerance),
		NotAfter: time.Now().Add(authorityValidity), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, key: key, cert: cert}
	return a, atomicfile.Write(a.File(), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600)
}

// serial is a random serial number of a certificate.
func serial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // no randomness: nothing can go on
	}
	return n
}

// File is the path of the authority's own certificate, in PEM.
func (a *Authority) File() string { return filepath.Join(a.dir, "authority.pem") }

// Issue writes a certificate and its key for a name and 127.0.0.1, for clients and servers, which expires after validity.
// It replaces the name's earlier files.
func (a *Authority) Issue(name string, validity time.Duration) (certs.Files, error) {
	files := certs.Files{Certificate: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), Authority: a.File()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	cert := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-clockTolerance),
		NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageDigitalSignature, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		DNSNames: []string{name}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, err
	}
	if err := atomicfile.Write(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600); err != nil {
		return files, err
	}
	return files, atomicfile.Write(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600)
}
