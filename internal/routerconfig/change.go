package routerconfig

import (
	"errors"
	"fmt"
	"reflect"
)

// CheckChange checks whether a running router can apply another configuration. The error joins one for each section that
// differs in something that a running router can't change. What may change: routers and rank, all of [rules], [peers] and
// [probes], all of [desk] but how to reach it and vote-timeout, the register's pushed and ask-within, the promised time,
// earnings and late share of categories, and the quotas of customers.
func (c *Config) CheckChange(next *Config) error {
	var errs []error
	fixed := func(what string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			errs = append(errs, fmt.Errorf("%s can't change in a running router", what))
		}
	}
	fixed("[router] name", c.Name, next.Name)
	fixed("[router] listen", c.Listen, next.Listen)
	fixed("[router] last-list", c.EndpointCache, next.EndpointCache)
	fixed("[router] seed", c.Router.Seed, next.Router.Seed)
	fixed("[clients], paths, patience and networks", c.Downstream, next.Downstream)
	fixed("[clients] held", c.MaxBodyBytes, next.MaxBodyBytes)
	fixed("[hosts]", c.Upstream, next.Upstream)
	fixed("[register] address, names and ask", c.Discovery, next.Discovery)
	fixed("[desk] url, certificate, key and authority", []any{c.ControlPlane.URLs, c.ControlPlane.Certificates},
		[]any{next.ControlPlane.URLs, next.ControlPlane.Certificates})
	fixed("[desk] vote-timeout", c.Router.Release.VoteTimeout, next.Router.Release.VoteTimeout)
	fixed("[records]", c.Records, next.Records)
	return errors.Join(append(errs, c.Router.CheckChange(next.Router))...)
}
