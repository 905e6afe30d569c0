package routerconfig

import (
	"net/netip"
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

// This file maps the sections and keys of the INI file to the configuration, with one function for each section. No other
// file reads them.

// Values of repeat and group in [category NAME], and of control in [desk].
const (
	repeatRetriable     = "retriable"
	repeatFingerprinted = "fingerprinted"
	repeatBinding       = "binding"

	groupEverywhere = "everywhere"
	groupLocation   = "location"
	groupCell       = "cell"

	controlShare = "share"
	controlAny   = "any"
	controlClock = "clock"
)

// Maps from these values to the policy's constants. A value that is not listed maps to the zero value.
var (
	idempotencies = map[string]policy.Idempotency{repeatRetriable: policy.Idempotent, repeatFingerprinted: policy.IdempotentWithKey,
		repeatBinding: policy.NonIdempotent}
	dedupScopes    = map[string]policy.DedupScope{groupLocation: policy.ZoneScope, groupCell: policy.CellScope}
	promotionModes = map[string]policy.PromotionMode{controlShare: policy.Quorum, controlClock: policy.Timed}
)

// ticks converts a duration to the policy's unit of time.
func ticks(d time.Duration) policy.Time { return eventloop.FromDuration(d) }

func (c *Config) readRouter(p inifile.Section) {
	c.Name, c.Listen, c.EndpointCache = p.Text("name", inifile.Required), p.Address("listen", "127.0.0.1:8080"), p.Text("last-list", "")
	c.KillAfter = p.Duration("drain", "10s")
	c.Router = router.Config{Seed: p.Seed("seed", "1"), Routers: p.Int("routers", "1", 1, 100_000),
		Rank: p.Int("rank", "0", 0, 99_999), Zone: p.Text("location", inifile.Required)}
	if c.Router.Rank >= c.Router.Routers {
		p.AddError("rank", "rank = %d: must be less than routers (%d)", c.Router.Rank, c.Router.Routers)
	}
	if strings.ContainsAny(c.Name, " ,\t") {
		p.AddError("name", "name = %s: must not contain spaces, tabs or commas", c.Name)
	}
}

const (
	// rejectedConnectionsShare is the divisor that gives the number of connections beyond the limit, whose requests are rejected.
	rejectedConnectionsShare = 16

	// reclaimIdleAfter is the minimum idle time of a client connection before it may be closed for another one at the limit.
	reclaimIdleAfter = time.Second
)

func (c *Config) readClients(p inifile.Section) {
	held := p.Bytes("held", "256MiB")
	c.Downstream = downstream.Config{RouterName: c.Name, TransferTimeout: p.Duration("slow", "10s"), IdleTimeout: p.Duration("idle", "60s"),
		ReclaimIdleAfter: reclaimIdleAfter, MaxConnections: p.Int("links", "20000", 1, 1<<20), MaxPipelined: p.Int("at-once", "16", 1, 1024),
		Limits: http1.Limits{Head: p.Bytes("largest-head", "16KiB"), Body: p.Bytes("largest-body", "1MiB")}}
	c.Downstream.RejectedConnections = c.Downstream.MaxConnections / rejectedConnectionsShare
	// Large messages, with their heads, may hold as much as is configured. A third more is for small ones (http1.Budget).
	c.MaxMessageBytes = (held + 2*c.Downstream.Limits.Head) / 3 * 4
	if held < 2*c.Downstream.Limits.Body {
		p.AddError("held", "held: must be at least twice the value of largest-body")
	}
	c.Router.Limits.MaxRequestsInFlight = p.Int("open", "20000", 1, 1<<24)
}

func (c *Config) readHosts(p inifile.Section) {
	c.Upstream = upstream.Config{ConnectTimeout: p.Duration("connect", "250ms"), IdleTimeout: p.Duration("idle", "15s"),
		MaxConnectionsPerHost: p.Int("links", "250", 1, 65_000),
		Limits:                http1.Limits{Head: p.Bytes("largest-head", "16KiB"), Body: p.Bytes("largest-answer", "1MiB")}}
}

func (c *Config) readDiscovery(p inifile.Section) {
	c.Discovery = Discovery{Address: p.Address("address", inifile.Required), Resources: p.List("names", inifile.Required),
		Incremental: p.OneOf("ask", "changes", "changes", "whole") == "changes"}
	c.Router.Limits.PollInterval = ticks(p.Duration("ask-within", "10s"))
	c.Router.Limits.PushedDiscovery = p.Bool("pushed", "off")
}

func (c *Config) readLimits(p inifile.Section) {
	l := &c.Router.Limits
	l.DrainGrace = ticks(p.Duration("grace", "2s"))
	l.WarmUp = ticks(p.Duration("cold", "5s"))
	l.ColdCapacity = p.Share("cold-share", "33%")
	l.ColdOverloadFactor = p.Float("tip", "3", 1, 100)
	l.ColdOverloadWindow = ticks(p.Duration("tip-for", "2s"))
	l.MaxAttempts = p.Int("most-sends", "4", 1, 16)
	l.AllowHedging = p.Bool("two-at-once", "on")
	l.MaxRetryAfter = ticks(p.Duration("longest-stay", "2s"))
	l.CrossZonePrice = p.Float("cross-price", "0.02", 0, 1)
	l.UnusedAttemptPrice = p.Float("waste-price", "0.03", 0, 1)
	l.OverQuotaValueShare = p.Share("over-share", "10%")
}

func (c *Config) readHealthCheck(p inifile.Section) {
	if !p.Has() {
		return
	}
	c.Router.Limits.HealthChecks = true
	c.HealthCheck = HealthCheck{Path: p.Text("path", inifile.Required), Timeout: p.Duration("within", "250ms")}
	if !strings.HasPrefix(c.HealthCheck.Path, "/") || strings.ContainsAny(c.HealthCheck.Path, " \t") {
		p.AddError("path", "path = %s: must be a path such as /probe", c.HealthCheck.Path)
	}
	if c.HealthCheck.Timeout <= 0 {
		p.AddError("within", "within: must be more than 0")
	}
}

func (c *Config) readGossip(p inifile.Section) {
	if !p.Has() {
		return
	}
	c.Gossip = &gossip.Config{Rank: c.Router.Rank, MaxBytes: p.Int("most", "256", 32, 1200), Addresses: p.List("addresses", inifile.Required)}
	c.Router.Limits.MaxGossipBytes = c.Gossip.MaxBytes
	if n := len(c.Gossip.Addresses); n != c.Router.Routers {
		p.AddError("addresses", "addresses: must list one for each of the %d routers, in order of rank; got %d", c.Router.Routers, n)
	}
	for i, a := range c.Gossip.Addresses {
		if _, err := netip.ParseAddrPort(a); err != nil || slices.Contains(c.Gossip.Addresses[:i], a) {
			p.AddError("addresses", "addresses: %s: must be a numeric IP address with a port, and listed only once", a)
		}
	}
}

func (c *Config) readRecords(p inifile.Section) {
	if !p.Has() {
		return
	}
	c.Records = &record.Config{Dir: p.Text("folder", inifile.Required), Name: c.Name, MaxFileBytes: int64(p.Bytes("size", "64MiB")),
		MaxFileAge: p.Duration("age", "1h"), MaxBytes: int64(p.Bytes("most", "1GiB"))}
	if c.Records.MaxBytes < 2*c.Records.MaxFileBytes {
		p.AddError("most", "most: must be at least twice the value of size")
	}
}

func (c *Config) readControlPlane(p inifile.Section) {
	c.ControlPlane.URLs = p.List("url", inifile.Required)
	for _, u := range c.ControlPlane.URLs {
		if !strings.HasPrefix(u, "http://") && !strings.HasPrefix(u, "https://") {
			p.AddError("url", "url = %s: must be http://HOST:PORT or https://HOST:PORT; separate several URLs by commas", u)
		}
	}
	files := certs.Files{Certificate: p.Text("certificate", ""), Key: p.Text("key", ""), Authority: p.Text("authority", "")}
	if (files.Certificate == "") != (files.Key == "") || (files.Key == "") != (files.Authority == "") {
		p.AddError("certificate", "certificate, key and authority: must be set together or not at all")
	}
	c.ControlPlane.Certificates = files
	c.Router.Release = readRelease(p)
	c.ControlPlane.StatsWindow = p.Duration("counts-over", "2s")
	if caps := c.Router.Release.ExposureCaps; slices.Contains(caps, 0) || !slices.IsSorted(caps) {
		p.AddError("caps", "caps: must be shares above 0%%, each at least as large as the one before")
	}
}

func readRelease(p inifile.Section) policy.ReleaseConfig {
	return policy.ReleaseConfig{
		Mode:              promotionModes[p.OneOf("control", controlShare, controlShare, controlAny, controlClock)],
		ExposureCaps:      p.Shares("caps", "4%, 15%, 50%, 100%"),
		MinStageTime:      ticks(p.Duration("least-time", "2s")),
		StageTime:         ticks(p.Duration("clock-time", "10s")),
		PromoteQuorum:     p.Int("to-move-on", "1", 1, 100_000),
		RollbackQuorum:    p.Int("to-abort", "1", 1, 100_000),
		VoteTTL:           ticks(p.Duration("vote-life", "10s")),
		VoteTimeout:       ticks(p.Duration("vote-timeout", "2s")),
		MaxVotesPerSecond: p.Float("votes-a-second", "30", 0.1, 1e6),
		ExposureWindow:    ticks(p.Duration("window", "4s")),
		ExposureAllowance: p.Float("free", "2", 0, 1e6),
		ExposurePerClass:  p.Bool("by-category", "off"),
		GuardedStages:     p.Int("guarded-stages", "1", 0, 100),
		StickyKeys:        p.Bool("keys-stay", "off"),
		DelayPrice:        p.Float("delay-price", "0.35", 0, 100),
		HarmPrice:         p.Float("harm-price", "5", 0, 100),
		ComplaintShare:    p.Share("complaints", "0%"),
		SampledShare:      p.Share("counted", "0%"),
	}
}

func (c *Config) readClasses(f *inifile.File) {
	sections, names := f.Sections("category")
	for i, p := range sections {
		c.readClass(p, names[i])
	}
	if len(sections) == 0 {
		f.Section("router").AddError("", "a section [category NAME] is missing")
	}
}

func (c *Config) readClass(p inifile.Section, name string) {
	repeat := p.OneOf("repeat", inifile.Required, repeatRetriable, repeatFingerprinted, repeatBinding)
	class := router.Class{
		Name:             name,
		LatencyObjective: ticks(p.Duration("promised", inifile.Required)),
		PriorityWeight:   p.Float("earnings", "1", 0, 1e9),
		LateValueShare:   p.Share("late-share", "0%"),
		Idempotency:      idempotencies[repeat],
		DedupScope:       dedupScopes[p.OneOf("group", groupEverywhere, groupEverywhere, groupLocation, groupCell)],
	}
	if repeat == repeatFingerprinted {
		class.DedupWindow = ticks(p.Duration("memory", inifile.Required))
	}
	timeout := ticks(p.Duration("patience", inifile.Required))
	if timeout < class.LatencyObjective {
		p.AddError("patience", "patience: must be at least the promised time")
	}
	c.Router.Classes = append(c.Router.Classes, class)
	c.Downstream.Classes = append(c.Downstream.Classes, downstream.Class{Name: name, Paths: p.List("paths", ""),
		Timeout: timeout, RequiresIdempotencyKey: repeat == repeatFingerprinted})
}

func (c *Config) readTenants(f *inifile.File) {
	sections, names := f.Sections("customer")
	for i, p := range sections {
		c.Router.Tenants = append(c.Router.Tenants, router.Tenant{Name: names[i],
			QuotaPerSecond: p.Float("per-second", inifile.Required, 0.001, 1e9)})
		for _, n := range p.Networks("networks", "") {
			c.Downstream.Networks = append(c.Downstream.Networks, downstream.Network{Prefix: n, Tenant: names[i]})
		}
	}
}
