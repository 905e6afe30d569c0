package routerconfig

import (
	"errors"
	"fmt"
	"reflect"
)

// CheckChange checks whether a running router can apply another configuration. The error joins one error for each group of
// settings that differs but can't change in a running router. These settings can change: routers, rank and drain of
// [router]; open of [clients]; all of [rules], [peers] and [probes]; all of [desk] except its addresses, certificates and
// vote-timeout; pushed and ask-within of [register]; the promised time, earnings and late share of categories; the quotas
// of customers.
func (c *Config) CheckChange(next *Config) error {
	var errs []error
	fixed := func(settings string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			errs = append(errs, fmt.Errorf("%s can't change in a running router", settings))
		}
	}
	fixed("[router] name", c.Name, next.Name)
	fixed("[router] listen", c.Listen, next.Listen)
	fixed("[router] last-list", c.EndpointCache, next.EndpointCache)
	fixed("[router] seed", c.Router.Seed, next.Router.Seed)
	fixed("[clients], paths and patience of categories, and networks of customers", c.Downstream, next.Downstream)
	fixed("[clients] held", c.MaxMessageBytes, next.MaxMessageBytes)
	fixed("[hosts]", c.Upstream, next.Upstream)
	fixed("[register] address, names and ask", c.Discovery, next.Discovery)
	fixed("[desk] url, certificate, key and authority", []any{c.ControlPlane.URLs, c.ControlPlane.Certificates},
		[]any{next.ControlPlane.URLs, next.ControlPlane.Certificates})
	fixed("[desk] vote-timeout", c.Router.Release.VoteTimeout, next.Router.Release.VoteTimeout)
	fixed("[records]", c.Records, next.Records)
	return errors.Join(append(errs, c.Router.CheckChange(next.Router))...)
}
