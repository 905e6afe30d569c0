package controller

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"path"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"dapplefront/internal/certs"
)

// TLSStreamLayer is the streams between controllers by TLS, both sides with certificates whose names fit peers.
func TLSStreamLayer(ring *certs.Ring, peers []string) func(net.Listener) (raft.StreamLayer, error) {
	return func(l net.Listener) (raft.StreamLayer, error) {
		server, client := ring.Server(), ring.Client()
		named := func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("no certificate")
			}
			name := s.PeerCertificates[0].Subject.CommonName
			if !slices.ContainsFunc(peers, func(p string) bool { ok, _ := path.Match(p, name); return ok }) {
				return fmt.Errorf("%s is no controller", name)
			}
			return nil
		}
		fresh := server.GetConfigForClient
		server.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			c, err := fresh(h)
			if err == nil {
				c.VerifyConnection = named
			}
			return c, err
		}
		verify := client.VerifyConnection
		client.VerifyConnection = func(s tls.ConnectionState) error {
			return errors.Join(verify(s), named(s))
		}
		return tlsStreamLayer{tls.NewListener(l, server), client}, nil
	}
}

type tlsStreamLayer struct {
	net.Listener
	client *tls.Config
}

func (s tlsStreamLayer) Dial(a raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return (&tls.Dialer{Config: s.client}).DialContext(ctx, "tcp", string(a))
}
