// Package routerconfig is all that a router process is told at start: who it is, whom it serves, what the rules' figures
// are. It is read from an INI file and checked as a whole.
package routerconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"dapplefront/internal/certs"
	"dapplefront/internal/downstream"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/gossip"
	"dapplefront/internal/http1"
	"dapplefront/internal/inifile"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
	"dapplefront/record"
	"dapplefront/router"
)

// Config is what one router process is told.
type Config struct {
	Name          string
	Listen        string
	EndpointCache string        // the file of the last host list; empty for none
	DrainTimeout  time.Duration // how long tasks held may take after a signal to end
	MaxBodyBytes  int           // bytes of bodies, in all
	Router        router.Config
	Downstream    downstream.Config
	Upstream      upstream.Config
	Discovery     Discovery
	ControlPlane  ControlPlane
	Records       *record.Config // nil for none
	Gossip        *gossip.Config // nil for none
	HealthCheck   HealthCheck
}

// HealthCheck is how hosts are probed.
type HealthCheck struct {
	Path    string
	Timeout time.Duration
}

// Discovery is where the host list is.
type Discovery struct {
	Address     string   // of the xDS service
	Resources   []string // of the endpoint resources
	Incremental bool     // asks for changes in place of whole lists
}

// ControlPlane is where the release desk is.
type ControlPlane struct {
	URLs         []string      // of the release controllers
	Certificates certs.Files   // towards them; empty for plain HTTP
	StatsWindow  time.Duration // the span of its counts
}

// Read reads a router's charter from a file.
func Read(file string) (*Config, error) {
	s := inifile.Read(file)
	c := From(s)
	return c, s.Done()
}

// From reads a router's charter; mistakes are kept by the sheet.
func From(s *inifile.File) *Config {
	c := &Config{}
	p := s.Section("router")
	c.Name, c.Listen, c.EndpointCache = p.Text("name", "!"), p.Address("listen", "127.0.0.1:8080"), p.Text("last-list", "")
	c.DrainTimeout = p.Duration("drain", "10s")
	c.Router = router.Config{Seed: p.Seed("seed", "1"), Routers: p.Int("routers", "1", 1, 100_000),
		Rank: p.Int("rank", "0", 0, 99_999), Zone: p.Text("location", "!")}
	if c.Router.Rank >= c.Router.Routers {
		p.AddError("rank", "rank = %d: less than routers (%d) expected", c.Router.Rank, c.Router.Routers)
	}
	if strings.ContainsAny(c.Name, " ,\t") {
		p.AddError("name", "name = %s: a name without spaces and commas expected", c.Name)
	}
	p = s.Section("clients")
	c.MaxBodyBytes = p.Bytes("held", "256MiB")
	c.Downstream = downstream.Config{RouterName: c.Name, TransferTimeout: p.Duration("slow", "10s"), IdleTimeout: p.Duration("idle", "60s"),
		MaxConnections: p.Int("links", "20000", 1, 1<<20), MaxPipelined: p.Int("at-once", "16", 1, 1024),
		Limits: http1.Limits{Head: p.Bytes("largest-head", "16KiB"), Body: p.Bytes("largest-body", "1MiB")}}
	if c.MaxBodyBytes < 2*c.Downstream.Limits.Body {
		p.AddError("held", "held: at least twice largest-body expected")
	}
	most := p.Int("open", "20000", 1, 1<<24)

	p = s.Section("hosts")
	c.Upstream = upstream.Config{ConnectTimeout: p.Duration("connect", "250ms"), IdleTimeout: p.Duration("idle", "15s"),
		MaxConnectionsPerHost: p.Int("links", "250", 1, 65_000),
		Limits:                http1.Limits{Head: p.Bytes("largest-head", "16KiB"), Body: p.Bytes("largest-answer", "1MiB")}}

	p = s.Section("register")
	c.Discovery = Discovery{Address: p.Address("address", "!"), Resources: p.List("names", "!"),
		Incremental: p.OneOf("ask", "changes", "changes", "whole") == "changes"}
	askWithin := p.Duration("ask-within", "10s")
	pushed := p.Bool("pushed", "off")

	p = s.Section("rules")
	c.Router.Limits = policy.Limits{DrainGrace: eventloop.FromDuration(p.Duration("grace", "2s")), WarmUp: eventloop.FromDuration(p.Duration("cold", "5s")),
		ColdCapacity: p.Share("cold-share", "33%"), ColdOverloadFactor: p.Float("tip", "3", 1, 100),
		ColdOverloadWindow: eventloop.FromDuration(p.Duration("tip-for", "2s")), PollInterval: eventloop.FromDuration(askWithin),
		MaxAttempts: p.Int("most-sends", "4", 1, 16), MaxOpen: most, AllowHedging: p.Bool("two-at-once", "on"),
		MaxRetryAfter:  eventloop.FromDuration(p.Duration("longest-stay", "2s")),
		CrossZonePrice: p.Float("cross-price", "0.02", 0, 1), WastePrice: p.Float("waste-price", "0.03", 0, 1),
		OverQuotaValueShare: p.Share("over-share", "10%")}

	c.Router.Limits.PushedDiscovery = pushed
	if p = s.Section("probes"); p.Has() {
		c.Router.Limits.HealthChecks = true
		c.HealthCheck = HealthCheck{Path: p.Text("path", "!"), Timeout: p.Duration("within", "250ms")}
		if !strings.HasPrefix(c.HealthCheck.Path, "/") || strings.ContainsAny(c.HealthCheck.Path, " \t") {
			p.AddError("path", "path = %s: a path such as /probe expected", c.HealthCheck.Path)
		}
		if c.HealthCheck.Timeout <= 0 {
			p.AddError("within", "within: more than no time expected")
		}
	}
	if p = s.Section("peers"); p.Has() {
		c.Gossip = &gossip.Config{Rank: c.Router.Rank, MaxBytes: p.Int("most", "256", 32, 1200), Addresses: p.List("addresses", "!")}
		c.Router.Limits.MaxGossipBytes = c.Gossip.MaxBytes
		if n := len(c.Gossip.Addresses); n != c.Router.Routers {
			p.AddError("addresses", "addresses: one for each of the %d routers expected, by rank; there are %d", c.Router.Routers, n)
		}
		for i, a := range c.Gossip.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil || slices.Contains(c.Gossip.Addresses[:i], a) {
				p.AddError("addresses", "addresses: %s: a numeric address and port of its own expected", a)
			}
		}
	}
	if p = s.Section("records"); p.Has() {
		c.Records = &record.Config{Dir: p.Text("folder", "!"), Name: c.Name, MaxFileBytes: int64(p.Bytes("size", "64MiB")), MaxFileAge: p.Duration("age", "1h"),
			MaxBytes: int64(p.Bytes("most", "1GiB"))}
		if c.Records.MaxBytes < 2*c.Records.MaxFileBytes {
			p.AddError("most", "most: at least twice size expected")
		}
	}
	c.readControlPlane(s.Section("desk"))
	c.readClasses(s)
	return c
}

func (c *Config) readControlPlane(p inifile.Section) {
	c.ControlPlane.URLs = p.List("url", "!")
	for _, u := range c.ControlPlane.URLs {
		if !strings.HasPrefix(u, "http://") && !strings.HasPrefix(u, "https://") {
			p.AddError("url", "url = %s: http://HOST:PORT expected, with commas between several", u)
		}
	}
	c.ControlPlane.Certificates = certs.Files{Certificate: p.Text("certificate", ""), Key: p.Text("key", ""), Authority: p.Text("authority", "")}
	if k := c.ControlPlane.Certificates; (k.Certificate == "") != (k.Key == "") || (k.Key == "") != (k.Authority == "") {
		p.AddError("certificate", "certificate, key and authority: all three expected, or none")
	}
	d := policy.ReleaseConfig{
		Mode: map[string]policy.PromotionMode{"share": policy.Quorum, "clock": policy.Timed}[p.OneOf("control",
			"share", "share", "any", "clock")],
		ExposureCaps: p.Shares("caps", "4%, 15%, 50%, 100%"),
		MinStageTime: eventloop.FromDuration(p.Duration("least-time", "2s")), StageTime: eventloop.FromDuration(p.Duration("clock-time", "10s")),
		PromoteQuorum: p.Int("to-move-on", "1", 1, 100_000), RollbackQuorum: p.Int("to-abort", "1", 1, 100_000),
		VoteTTL: eventloop.FromDuration(p.Duration("vote-life", "10s")), VoteTimeout: eventloop.FromDuration(p.Duration("vote-timeout", "2s")),
		MaxVotesPerSecond: p.Float("votes-a-second", "30", 0.1, 1e6), ExposureWindow: eventloop.FromDuration(p.Duration("window", "4s")),
		ExposureAllowance: p.Float("free", "2", 0, 1e6), ExposurePerClass: p.Bool("by-category", "off"),
		GuardedStages: p.Int("guarded-stages", "1", 0, 100), StickyKeys: p.Bool("keys-stay", "off"),
		DelayPrice: p.Float("delay-price", "0.35", 0, 100), HarmPrice: p.Float("harm-price", "5", 0, 100),
		ComplaintShare: p.Share("complaints", "0%"), SampledShare: p.Share("counted", "0%")}
	c.ControlPlane.StatsWindow = p.Duration("counts-over", "2s")
	if slices.ContainsFunc(d.ExposureCaps, func(v float64) bool { return v == 0 }) || !slices.IsSorted(d.ExposureCaps) {
		p.AddError("caps", "caps: shares above 0%%, none smaller than the one before, expected")
	}
	c.Router.Release = d
}

func (c *Config) readClasses(s *inifile.File) {
	parts, names := s.Sections("category")
	for i, p := range parts {
		repeat := p.OneOf("repeat", "!", "retriable", "fingerprinted", "binding")
		k := router.Class{Name: names[i], LatencyObjective: eventloop.FromDuration(p.Duration("promised", "!")),
			PriorityWeight: p.Float("earnings", "1", 0, 1e9), LateValueShare: p.Share("late-share", "0%"),
			Idempotency: map[string]policy.Idempotency{"fingerprinted": policy.IdempotentWithKey, "binding": policy.NonIdempotent}[repeat],
			DedupScope: map[string]policy.DedupScope{"location": policy.ZoneScope, "cell": policy.CellScope}[p.OneOf("group",
				"everywhere", "everywhere", "location", "cell")]}
		if repeat == "fingerprinted" {
			k.DedupWindow = eventloop.FromDuration(p.Duration("memory", "!"))
		}
		patience := eventloop.FromDuration(p.Duration("patience", "!"))
		if patience < k.LatencyObjective {
			p.AddError("patience", "patience: at least the promised time expected")
		}
		c.Router.Classes = append(c.Router.Classes, k)
		c.Downstream.Classes = append(c.Downstream.Classes, downstream.Class{Name: names[i], Paths: p.List("paths", ""),
			Timeout: patience, RequiresIdempotencyKey: repeat == "fingerprinted"})
	}
	if len(parts) == 0 {
		s.Section("router").AddError("", "a section [category NAME] is missing")
	}
	parts, names = s.Sections("customer")
	for i, p := range parts {
		c.Router.Tenants = append(c.Router.Tenants, router.Tenant{Name: names[i],
			QuotaPerSecond: p.Float("per-second", "!", 0.001, 1e9)})
		for _, n := range p.Networks("networks", "") {
			c.Downstream.Networks = append(c.Downstream.Networks, downstream.Network{Prefix: n, Tenant: names[i]})
		}
	}
}

// Changes tells whether a running router can go over to another charter: each thing that can't change in one is an
// error by its section. What may: routers and rank, all of [rules], [desk] but its way there, [peers], [probes], the
// register's pushed and ask-within, promised time, earnings and late share of categories, customers' shares.
func (c *Config) Changes(to *Config) error {
	var all []error
	fixed := func(what string, a, b any) {
		if !reflect.DeepEqual(a, b) {
			all = append(all, fmt.Errorf("%s can't change in a running router", what))
		}
	}
	fixed("[router] name", c.Name, to.Name)
	fixed("[router] listen", c.Listen, to.Listen)
	fixed("[router] last-list", c.EndpointCache, to.EndpointCache)
	fixed("[router] seed", c.Router.Seed, to.Router.Seed)
	fixed("[clients], paths, patience and networks", c.Downstream, to.Downstream)
	fixed("[clients] held", c.MaxBodyBytes, to.MaxBodyBytes)
	fixed("[hosts]", c.Upstream, to.Upstream)
	fixed("[register] address, names and ask", c.Discovery, to.Discovery)
	fixed("[desk] url, certificate, key and authority", []any{c.ControlPlane.URLs, c.ControlPlane.Certificates}, []any{to.ControlPlane.URLs, to.ControlPlane.Certificates})
	fixed("[desk] vote-timeout", c.Router.Release.VoteTimeout, to.Router.Release.VoteTimeout)
	fixed("[records]", c.Records, to.Records)
	return errors.Join(append(all, c.Router.CheckChange(to.Router))...)
}
