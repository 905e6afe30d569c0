package router

import (
	"errors"
	"fmt"
	"slices"

	"dapplefront/policy"
)

// Config is the configuration of a router.
type Config struct {
	Seed    uint64
	Routers int // number of routers that serve the fleet
	Rank    int // number of this router among them, from 0
	Zone    string
	Classes []Class
	Tenants []Tenant
	Limits  policy.Limits
	Release policy.ReleaseConfig
}

// Class is a class of requests.
type Class struct {
	Name             string
	Idempotency      policy.Idempotency
	DedupScope       policy.DedupScope
	DedupWindow      policy.Time // how long the hosts of one dedup scope drop repeats of a request
	LatencyObjective policy.Time
	PriorityWeight   float64
	LateValueShare   float64 // value of a response later than the latency objective, as a share of its full value
}

// Tenant is a customer on whose behalf requests are made.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // number of requests per second, over all routers, that have their full value
}

// configChanged replaces the configuration between two events. Requests in flight continue under the new configuration;
// the change itself causes no attempts to be sent again.
func (r *Router) configChanged(now policy.Time, c Config) error {
	if err := r.config.CheckChange(c); err != nil {
		return err
	}
	for _, class := range c.Classes {
		p := r.classes[class.Name]
		p.LatencyObjective, p.PriorityWeight, p.LateValueShare = class.LatencyObjective, class.PriorityWeight, class.LateValueShare
	}
	for _, t := range c.Tenants {
		r.tenants[t.Name].QuotaPerSecond = t.QuotaPerSecond
	}
	c.Seed = r.config.Seed // the random number generator continues from its current state
	r.config = c
	r.policy.ConfigChanged(now, c.Routers, c.Rank, c.Limits, c.Release)
	return nil
}

// CheckChange returns an error that joins one error for each difference in next that can't be applied to a running
// router. The zone can't change, because hosts and requests were interpreted relative to it. The idempotency of a class
// can't change, because the requests in flight were handled according to it. The errors use the names of the settings.
func (c Config) CheckChange(next Config) error {
	var all []error
	if c.Zone != next.Zone {
		all = append(all, fmt.Errorf("location: can't change from %q to %q in a running router", c.Zone, next.Zone))
	}
	for _, class := range c.Classes {
		i := slices.IndexFunc(next.Classes, func(x Class) bool { return x.Name == class.Name })
		if i < 0 {
			all = append(all, fmt.Errorf("category %s: can't be removed from a running router", class.Name))
		} else if x := next.Classes[i]; x.Idempotency != class.Idempotency || x.DedupScope != class.DedupScope || x.DedupWindow != class.DedupWindow {
			all = append(all, fmt.Errorf("category %s: repeat, group and memory can't change in a running router", class.Name))
		}
	}
	for _, class := range next.Classes {
		if !slices.ContainsFunc(c.Classes, func(x Class) bool { return x.Name == class.Name }) {
			all = append(all, fmt.Errorf("category %s: can't be added to a running router", class.Name))
		}
	}
	all = append(all, missingTenants(c.Tenants, next.Tenants)...)
	all = append(all, missingTenants(next.Tenants, c.Tenants)...)
	return errors.Join(all...)
}

// missingTenants returns an error for each tenant of the first list that the second list lacks.
func missingTenants(in, notIn []Tenant) (all []error) {
	for _, t := range in {
		if !slices.ContainsFunc(notIn, func(x Tenant) bool { return x.Name == t.Name }) {
			all = append(all, fmt.Errorf("customer %s: can't be added to or removed from a running router", t.Name))
		}
	}
	return all
}
