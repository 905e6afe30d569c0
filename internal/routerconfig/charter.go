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
	Name     string
	Listen   string
	LastList string        // the file of the last host list; empty for none
	Drain    time.Duration // how long tasks held may take after a signal to end
	Held     int           // bytes of bodies, in all
	Place    router.Config
	Welcome  downstream.Config
	Reach    upstream.Config
	Register Register
	Desk     Desk
	Records  *record.Shelf  // nil for none
	Peers    *gossip.Config // nil for none
	Probe    Probe
}

// Probe is how hosts are probed.
type Probe struct {
	Path   string
	Within time.Duration
}

// Register is where the host list is.
type Register struct {
	Address string   // of the xDS service
	Names   []string // of the endpoint resources
	Changes bool     // asks for changes in place of whole lists
}

// Desk is where the release desk is.
type Desk struct {
	URLs []string      // of the release controllers
	Keys certs.Files   // towards them; empty for plain HTTP
	Over time.Duration // the span of its counts
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
	p := s.Part("router")
	c.Name, c.Listen, c.LastList = p.Text("name", "!"), p.Address("listen", "127.0.0.1:8080"), p.Text("last-list", "")
	c.Drain = p.Span("drain", "10s")
	c.Place = router.Config{Seed: p.Seed("seed", "1"), Routers: p.Whole("routers", "1", 1, 100_000),
		Rank: p.Whole("rank", "0", 0, 99_999), Location: p.Text("location", "!")}
	if c.Place.Rank >= c.Place.Routers {
		p.Wrong("rank", "rank = %d: less than routers (%d) expected", c.Place.Rank, c.Place.Routers)
	}
	if strings.ContainsAny(c.Name, " ,\t") {
		p.Wrong("name", "name = %s: a name without spaces and commas expected", c.Name)
	}
	p = s.Part("clients")
	c.Held = p.Bytes("held", "256MiB")
	c.Welcome = downstream.Config{Name: c.Name, Slow: p.Span("slow", "10s"), Idle: p.Span("idle", "60s"),
		Links: p.Whole("links", "20000", 1, 1<<20), AtOnce: p.Whole("at-once", "16", 1, 1024),
		Bounds: http1.Bounds{Head: p.Bytes("largest-head", "16KiB"), Body: p.Bytes("largest-body", "1MiB")}}
	if c.Held < 2*c.Welcome.Bounds.Body {
		p.Wrong("held", "held: at least twice largest-body expected")
	}
	most := p.Whole("open", "20000", 1, 1<<24)

	p = s.Part("hosts")
	c.Reach = upstream.Config{Connect: p.Span("connect", "250ms"), Idle: p.Span("idle", "15s"),
		Links:  p.Whole("links", "250", 1, 65_000),
		Bounds: http1.Bounds{Head: p.Bytes("largest-head", "16KiB"), Body: p.Bytes("largest-answer", "1MiB")}}

	p = s.Part("register")
	c.Register = Register{Address: p.Address("address", "!"), Names: p.List("names", "!"),
		Changes: p.OneOf("ask", "changes", "changes", "whole") == "changes"}
	askWithin := p.Span("ask-within", "10s")
	pushed := p.Switch("pushed", "off")

	p = s.Part("rules")
	c.Place.Limits = policy.Limits{DrainGrace: eventloop.FromDuration(p.Span("grace", "2s")), WarmUp: eventloop.FromDuration(p.Span("cold", "5s")),
		ColdCapacity: p.Share("cold-share", "33%"), ColdOverloadFactor: p.Number("tip", "3", 1, 100),
		ColdOverloadWindow: eventloop.FromDuration(p.Span("tip-for", "2s")), PollInterval: eventloop.FromDuration(askWithin),
		MaxAttempts: p.Whole("most-sends", "4", 1, 16), MaxOpen: most, AllowHedging: p.Switch("two-at-once", "on"),
		MaxRetryAfter: eventloop.FromDuration(p.Span("longest-stay", "2s")),
		CrossPrice:    p.Number("cross-price", "0.02", 0, 1), WastePrice: p.Number("waste-price", "0.03", 0, 1),
		OverShare: p.Share("over-share", "10%")}

	c.Place.Limits.PushedDiscovery = pushed
	if p = s.Part("probes"); p.Has() {
		c.Place.Limits.HealthChecks = true
		c.Probe = Probe{Path: p.Text("path", "!"), Within: p.Span("within", "250ms")}
		if !strings.HasPrefix(c.Probe.Path, "/") || strings.ContainsAny(c.Probe.Path, " \t") {
			p.Wrong("path", "path = %s: a path such as /probe expected", c.Probe.Path)
		}
		if c.Probe.Within <= 0 {
			p.Wrong("within", "within: more than no time expected")
		}
	}
	if p = s.Part("peers"); p.Has() {
		c.Peers = &gossip.Config{Rank: c.Place.Rank, Most: p.Whole("most", "256", 32, 1200), Addresses: p.List("addresses", "!")}
		c.Place.Limits.MaxGossipBytes = c.Peers.Most
		if n := len(c.Peers.Addresses); n != c.Place.Routers {
			p.Wrong("addresses", "addresses: one for each of the %d routers expected, by rank; there are %d", c.Place.Routers, n)
		}
		for i, a := range c.Peers.Addresses {
			if _, err := netip.ParseAddrPort(a); err != nil || slices.Contains(c.Peers.Addresses[:i], a) {
				p.Wrong("addresses", "addresses: %s: a numeric address and port of its own expected", a)
			}
		}
	}
	if p = s.Part("records"); p.Has() {
		c.Records = &record.Shelf{Dir: p.Text("folder", "!"), Name: c.Name, Size: int64(p.Bytes("size", "64MiB")), Age: p.Span("age", "1h"),
			Most: int64(p.Bytes("most", "1GiB"))}
		if c.Records.Most < 2*c.Records.Size {
			p.Wrong("most", "most: at least twice size expected")
		}
	}
	c.desk(s.Part("desk"))
	c.kinds(s)
	return c
}

func (c *Config) desk(p inifile.Section) {
	c.Desk.URLs = p.List("url", "!")
	for _, u := range c.Desk.URLs {
		if !strings.HasPrefix(u, "http://") && !strings.HasPrefix(u, "https://") {
			p.Wrong("url", "url = %s: http://HOST:PORT expected, with commas between several", u)
		}
	}
	c.Desk.Keys = certs.Files{Certificate: p.Text("certificate", ""), Key: p.Text("key", ""), Authority: p.Text("authority", "")}
	if k := c.Desk.Keys; (k.Certificate == "") != (k.Key == "") || (k.Key == "") != (k.Authority == "") {
		p.Wrong("certificate", "certificate, key and authority: all three expected, or none")
	}
	d := policy.ReleaseConfig{
		Mode: map[string]policy.PromotionMode{"share": policy.Quorum, "clock": policy.Timed}[p.OneOf("control",
			"share", "share", "any", "clock")],
		ExposureCaps: p.Shares("caps", "4%, 15%, 50%, 100%"),
		MinStageTime: eventloop.FromDuration(p.Span("least-time", "2s")), StageTime: eventloop.FromDuration(p.Span("clock-time", "10s")),
		PromoteQuorum: p.Whole("to-move-on", "1", 1, 100_000), RollbackQuorum: p.Whole("to-abort", "1", 1, 100_000),
		VoteTTL: eventloop.FromDuration(p.Span("vote-life", "10s")), VoteTimeout: eventloop.FromDuration(p.Span("vote-timeout", "2s")),
		MaxVotesPerSecond: p.Number("votes-a-second", "30", 0.1, 1e6), ExposureWindow: eventloop.FromDuration(p.Span("window", "4s")),
		ExposureAllowance: p.Number("free", "2", 0, 1e6), ExposurePerClass: p.Switch("by-category", "off"),
		GuardedStages: p.Whole("guarded-stages", "1", 0, 100), StickyKeys: p.Switch("keys-stay", "off"),
		DelayPrice: p.Number("delay-price", "0.35", 0, 100), HarmPrice: p.Number("harm-price", "5", 0, 100),
		Complaints: p.Share("complaints", "0%"), Counted: p.Share("counted", "0%")}
	c.Desk.Over = p.Span("counts-over", "2s")
	if slices.ContainsFunc(d.ExposureCaps, func(v float64) bool { return v == 0 }) || !slices.IsSorted(d.ExposureCaps) {
		p.Wrong("caps", "caps: shares above 0%%, none smaller than the one before, expected")
	}
	c.Place.Desk = d
}

func (c *Config) kinds(s *inifile.File) {
	parts, names := s.Parts("category")
	for i, p := range parts {
		repeat := p.OneOf("repeat", "!", "retriable", "fingerprinted", "binding")
		k := router.Class{Name: names[i], Promised: eventloop.FromDuration(p.Span("promised", "!")),
			Earnings: p.Number("earnings", "1", 0, 1e9), LateShare: p.Share("late-share", "0%"),
			Repeat: map[string]policy.Idempotency{"fingerprinted": policy.IdempotentWithKey, "binding": policy.NonIdempotent}[repeat],
			Group: map[string]policy.DedupScope{"location": policy.ZoneScope, "cell": policy.CellScope}[p.OneOf("group",
				"everywhere", "everywhere", "location", "cell")]}
		if repeat == "fingerprinted" {
			k.Memory = eventloop.FromDuration(p.Span("memory", "!"))
		}
		patience := eventloop.FromDuration(p.Span("patience", "!"))
		if patience < k.Promised {
			p.Wrong("patience", "patience: at least the promised time expected")
		}
		c.Place.Categories = append(c.Place.Categories, k)
		c.Welcome.Classes = append(c.Welcome.Classes, downstream.Class{Name: names[i], Paths: p.List("paths", ""),
			Patience: patience, Marked: repeat == "fingerprinted"})
	}
	if len(parts) == 0 {
		s.Part("router").Wrong("", "a section [category NAME] is missing")
	}
	parts, names = s.Parts("customer")
	for i, p := range parts {
		c.Place.Customers = append(c.Place.Customers, router.Tenant{Name: names[i],
			PerSecond: p.Number("per-second", "!", 0.001, 1e9)})
		for _, n := range p.Networks("networks", "") {
			c.Welcome.Networks = append(c.Welcome.Networks, downstream.Network{Prefix: n, Customer: names[i]})
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
	fixed("[router] last-list", c.LastList, to.LastList)
	fixed("[router] seed", c.Place.Seed, to.Place.Seed)
	fixed("[clients], paths, patience and networks", c.Welcome, to.Welcome)
	fixed("[clients] held", c.Held, to.Held)
	fixed("[hosts]", c.Reach, to.Reach)
	fixed("[register] address, names and ask", c.Register, to.Register)
	fixed("[desk] url, certificate, key and authority", []any{c.Desk.URLs, c.Desk.Keys}, []any{to.Desk.URLs, to.Desk.Keys})
	fixed("[desk] vote-timeout", c.Place.Desk.VoteTimeout, to.Place.Desk.VoteTimeout)
	fixed("[records]", c.Records, to.Records)
	return errors.Join(append(all, c.Place.CheckChange(to.Place))...)
}
