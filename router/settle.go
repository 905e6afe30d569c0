package router

import (
	"errors"
	"fmt"
	"slices"

	"dapplefront/policy"
)

// settle takes over other settings, between two events: tasks held go on under them, and nothing is sent anew.
func (r *Router) settle(now policy.Time, p Config) error {
	if err := r.place.CheckChange(p); err != nil {
		return err
	}
	for _, c := range p.Classes {
		noun := r.cats[c.Name]
		noun.LatencyObjective, noun.PriorityWeight, noun.LateValueShare = c.LatencyObjective, c.PriorityWeight, c.LateValueShare
	}
	for _, c := range p.Tenants {
		r.customers[c.Name].QuotaPerSecond = c.QuotaPerSecond
	}
	p.Seed = r.place.Seed // chance goes on as it was
	r.place = p
	r.policy.ConfigChanged(now, p.Routers, p.Rank, p.Limits, p.Release)
	return nil
}

// CheckChange tells what in other settings can't change in a running router: every such thing, by name. Its place is what
// its hosts and tasks were understood by, and what a repeat may do was promised for the tasks that it holds.
func (p Config) CheckChange(q Config) error {
	var all []error
	if p.Zone != q.Zone {
		all = append(all, fmt.Errorf("location: can't change from %q to %q in a running router", p.Zone, q.Zone))
	}
	for _, c := range p.Classes {
		i := slices.IndexFunc(q.Classes, func(x Class) bool { return x.Name == c.Name })
		if i < 0 {
			all = append(all, fmt.Errorf("category %s: can't go in a running router", c.Name))
		} else if x := q.Classes[i]; x.Idempotency != c.Idempotency || x.DedupScope != c.DedupScope || x.DedupWindow != c.DedupWindow {
			all = append(all, fmt.Errorf("category %s: repeat, group and memory can't change in a running router", c.Name))
		}
	}
	for _, c := range q.Classes {
		if !slices.ContainsFunc(p.Classes, func(x Class) bool { return x.Name == c.Name }) {
			all = append(all, fmt.Errorf("category %s: can't come in a running router", c.Name))
		}
	}
	same := func(a, b []Tenant) {
		for _, c := range a {
			if !slices.ContainsFunc(b, func(x Tenant) bool { return x.Name == c.Name }) {
				all = append(all, fmt.Errorf("customer %s: can't come or go in a running router", c.Name))
			}
		}
	}
	same(p.Tenants, q.Tenants)
	same(q.Tenants, p.Tenants)
	return errors.Join(all...)
}
