// Package certs holds a program's certificate, its key and the authority that others' certificates must come from, and
// reads them anew when their files change: connections that stand go on, new ones have the new certificate.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files are where the PEM files are.
type Files struct{ Certificate, Key, Authority string }

// Ring is what was read from them last. It is safe for concurrent use.
type Ring struct {
	files       Files
	mu          sync.Mutex
	modified    [3]time.Time
	checkedAt   time.Time
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// minCheckInterval is how often files are looked at, at most: far below the time in which anyone replaces them.
const minCheckInterval = 200 * time.Millisecond

// Open reads the files; an error names the one that makes no sense.
func Open(f Files) (*Ring, error) {
	r := &Ring{files: f}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Ring) load() error {
	own, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", r.files.Certificate, r.files.Key, err)
	}
	text, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("authority %s: no certificate in it", r.files.Authority)
	}
	r.certificate, r.roots = &own, roots
	return nil
}

// current are the present ones. Files that can't be read while they are being replaced leave the last good ones in use.
func (r *Ring) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) < minCheckInterval {
		return r.certificate, r.roots
	}
	r.checkedAt = time.Now()
	var seen [3]time.Time
	for i, f := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if s, err := os.Stat(f); err == nil {
			seen[i] = s.ModTime()
		}
	}
	if seen != r.modified {
		if r.load() == nil {
			r.modified = seen
		}
	}
	return r.certificate, r.roots
}

// Server is the settings of a server that asks everyone for a certificate.
func (r *Ring) Server() *tls.Config {
	own, roots := r.current()
	base := &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, Certificates: []tls.Certificate{*own}, ClientCAs: roots}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		own, roots := r.current()
		return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, Certificates: []tls.Certificate{*own},
			ClientCAs: roots, NextProtos: base.NextProtos}, nil
	}
	return base
}

// Client is the settings of a client. Servers must have a certificate of the authority for the name they are reached by.
func (r *Ring) Client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { own, _ := r.current(); return own, nil },
		InsecureSkipVerify:   true, // VerifyConnection does it, with roots that may change
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("the server shows no certificate")
			}
			_, roots := r.current()
			more := x509.NewCertPool()
			for _, c := range s.PeerCertificates[1:] {
				more.AddCert(c)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: more, DNSName: s.ServerName})
			return err
		}}
}
