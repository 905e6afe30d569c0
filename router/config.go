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
	Routers int // all that serve the fleet
	Rank    int // this one's number among them, from 0
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
	DedupWindow      policy.Time // how long hosts of one scope drop repeats of a request
	LatencyObjective policy.Time
	PriorityWeight   float64
	LateValueShare   float64 // share of the value that is left after the latency objective
}

// Tenant is whoever requests are made for.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests a second, over all routers, that have their full value
}

// configChanged replaces the configuration between two events: requests in flight go on under the new one, and nothing
// is sent again for it.
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
	c.Seed = r.config.Seed // the random numbers go on as they were
	r.config = c
	r.policy.ConfigChanged(now, c.Routers, c.Rank, c.Limits, c.Release)
	return nil
}

// CheckChange names everything in next that can't change in a running router: its hosts and requests were understood by
// its zone, and its classes' idempotency was promised for the requests in flight. The errors use the settings' names.
func (c Config) CheckChange(next Config) error {
	var all []error
	if c.Zone != next.Zone {
		all = append(all, fmt.Errorf("location: can't change from %q to %q in a running router", c.Zone, next.Zone))
	}
	for _, class := range c.Classes {
		i := slices.IndexFunc(next.Classes, func(x Class) bool { return x.Name == class.Name })
		if i < 0 {
			all = append(all, fmt.Errorf("category %s: can't go in a running router", class.Name))
		} else if x := next.Classes[i]; x.Idempotency != class.Idempotency || x.DedupScope != class.DedupScope || x.DedupWindow != class.DedupWindow {
			all = append(all, fmt.Errorf("category %s: repeat, group and memory can't change in a running router", class.Name))
		}
	}
	for _, class := range next.Classes {
		if !slices.ContainsFunc(c.Classes, func(x Class) bool { return x.Name == class.Name }) {
			all = append(all, fmt.Errorf("category %s: can't come in a running router", class.Name))
		}
	}
	all = append(all, missingTenants(c.Tenants, next.Tenants)...)
	all = append(all, missingTenants(next.Tenants, c.Tenants)...)
	return errors.Join(all...)
}

// missingTenants has an error for each tenant that is in one list and not in the other.
func missingTenants(in, notIn []Tenant) (all []error) {
	for _, t := range in {
		if !slices.ContainsFunc(notIn, func(x Tenant) bool { return x.Name == t.Name }) {
			all = append(all, fmt.Errorf("customer %s: can't come or go in a running router", t.Name))
		}
	}
	return all
}
