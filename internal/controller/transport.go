package controller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"

	"dapplefront/internal/certs"
)

// tcpStreamLayer connects controllers through TCP without TLS.
type tcpStreamLayer struct{ net.Listener }

// Dial connects to another controller.
func (tcpStreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(address), timeout)
}

// tlsStreamLayer connects controllers through mutual TLS.
type tlsStreamLayer struct {
	net.Listener
	client *tls.Config
}

// Dial connects to another controller.
func (s tlsStreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return (&tls.Dialer{Config: s.client}).DialContext(ctx, "tcp", string(address))
}

// TLSStreamLayer returns a function that creates a stream layer with mutual TLS. Both sides need a certificate whose common
// name matches one of the patterns in peers (path.Match). Certificates may be replaced while connections are open.
func TLSStreamLayer(reloader *certs.Reloader, peers []string) func(net.Listener) (raft.StreamLayer, error) {
	verifyName := func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.New("the peer presented no certificate")
		}
		if name := s.PeerCertificates[0].Subject.CommonName; !matchesAny(peers, name) {
			return fmt.Errorf("the certificate name %s is not that of a controller", name)
		}
		return nil
	}
	return func(l net.Listener) (raft.StreamLayer, error) {
		server, client := reloader.Server(), reloader.Client()
		current := server.GetConfigForClient
		server.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			c, err := current(h)
			if err == nil {
				c.VerifyConnection = verifyName
			}
			return c, err
		}
		verifyChain := client.VerifyConnection
		client.VerifyConnection = func(s tls.ConnectionState) error {
			return errors.Join(verifyChain(s), verifyName(s))
		}
		return tlsStreamLayer{tls.NewListener(l, server), client}, nil
	}
}
