// Package certs serves a program's certificate, its key and the authority that signs its peers' certificates, for mutual
// TLS. It reads the files again when they change: open connections go on, new ones use the new certificate.
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

// Files are the names of the PEM files.
type Files struct{ Certificate, Key, Authority string }

// Reloader is the certificates as last read from the files. It is safe for concurrent use.
type Reloader struct {
	files Files

	mu          sync.Mutex
	modified    [3]time.Time // of the files, when they were last read well
	checkedAt   time.Time    // when the files were last looked at
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// minCheckInterval is the time between two looks at the files, at least: far below the time between two renewals.
const minCheckInterval = 200 * time.Millisecond

// Open reads the files; an error names the file that is missing or invalid.
func Open(f Files) (*Reloader, error) {
	r := &Reloader{files: f}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
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
	r.certificate, r.roots = &certificate, roots
	return nil
}

// current returns the certificate and the authority in use. Files that can't be read, as while they are being replaced,
// leave the last valid ones in use; they are read again at the next look.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checkedAt) < minCheckInterval {
		return r.certificate, r.roots
	}
	r.checkedAt = time.Now()
	if modified := r.files.modified(); modified != r.modified && r.load() == nil {
		r.modified = modified
	}
	return r.certificate, r.roots
}

// modified returns when each file was last modified; the zero time for one that is missing.
func (f Files) modified() (times [3]time.Time) {
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// Server is the configuration of a server that requires a certificate of the authority from each client. Each handshake
// uses the current files.
func (r *Reloader) Server() *tls.Config {
	base := r.serverConfig()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := r.serverConfig()
		c.NextProtos = base.NextProtos // which an HTTP server sets on base
		return c, nil
	}
	return base
}

func (r *Reloader) serverConfig() *tls.Config {
	certificate, roots := r.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{*certificate}, ClientCAs: roots}
}

// Client is the configuration of a client. A server must have a certificate of the authority for the name that it is
// reached by. Each handshake uses the current files.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := r.current()
			return certificate, nil
		},
		InsecureSkipVerify: true, // verifyServer does it, as the authority may change
		VerifyConnection:   r.verifyServer}
}

// verifyServer checks a server's certificate against the current authority.
func (r *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the server shows no certificate")
	}
	_, roots := r.current()
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: s.ServerName})
	return err
}
