// Package certs provides a program's certificate, its key and the certificate authority of its peers for mutual TLS. It
// reads the files again when they change: open connections continue, and new connections use the new certificate.
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

// Reloader provides the certificates that were last read from the files. It is safe for concurrent use.
type Reloader struct {
	files Files

	mu          sync.Mutex
	modified    [3]time.Time // modification times of the files when they were last reloaded successfully
	checkedAt   time.Time    // when the files were last checked for changes
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// minCheckInterval is the minimum time between two checks for changed files. It is far shorter than the time between two
// renewals of a certificate.
const minCheckInterval = 200 * time.Millisecond

// Open reads the files. Its error names the file that is missing or invalid.
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
		return fmt.Errorf("authority %s: the file contains no valid certificate", r.files.Authority)
	}
	r.certificate, r.roots = &certificate, roots
	return nil
}

// current returns the certificate and the authority in use. If changed files can't be read, for example while they are
// being replaced, the last valid ones stay in use and the files are read again at the next check.
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

// modified returns the modification time of each file, or the zero time for a missing file.
func (f Files) modified() (times [3]time.Time) {
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// Server returns the configuration of a server that requires from each client a certificate signed by the authority. Each
// handshake uses the current files.
func (r *Reloader) Server() *tls.Config {
	base := r.serverConfig()
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		c := r.serverConfig()
		c.NextProtos = base.NextProtos // an HTTP server sets NextProtos on base
		return c, nil
	}
	return base
}

func (r *Reloader) serverConfig() *tls.Config {
	certificate, roots := r.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{*certificate}, ClientCAs: roots}
}

// Client returns the configuration of a client. A server must present a certificate that is signed by the authority and
// valid for the host name that the client connects to. Each handshake uses the current files.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := r.current()
			return certificate, nil
		},
		InsecureSkipVerify: true, // verifyServer verifies instead, because the authority may change
		VerifyConnection:   r.verifyServer}
}

// verifyServer checks a server's certificate against the current authority.
func (r *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the server presented no certificate")
	}
	_, roots := r.current()
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, DNSName: s.ServerName})
	return err
}
