// Package native connects a router to endpoint discovery and the release controllers by this project's own protocols: xDS, and
// REST with server-sent events.
package native

import (
	"crypto/tls"

	"dapplefront/internal/certs"
	"dapplefront/internal/controlclient"
	"dapplefront/internal/controlplane"
	"dapplefront/internal/eds"
	"dapplefront/internal/endpoint"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/routerconfig"
)

// Protocols returns the protocols for a router's configuration.
func Protocols(c *routerconfig.Config) controlplane.Protocols {
	return controlplane.Protocols{
		Discovery: func(handler endpoint.Handler) (controlplane.Discovery, []endpoint.Host, error) {
			w, err := eds.New(c.Discovery.Address, c.Name, c.Discovery.Resources, c.Discovery.Incremental, handler)
			return w, nil, err
		},
		ReleaseController: func(handler controlclient.Handler) (controlplane.ReleaseClient, error) {
			var tlsConfig *tls.Config
			if c.ControlPlane.Certificates != (certs.Files{}) {
				reloader, err := certs.Open(c.ControlPlane.Certificates)
				if err != nil {
					return nil, err
				}
				tlsConfig = reloader.Client()
			}
			return controlclient.Open(c.ControlPlane.URLs, c.Name, c.Router.Zone, tlsConfig,
				eventloop.Duration(c.Router.Release.VoteTimeout), handler), nil
		},
	}
}
