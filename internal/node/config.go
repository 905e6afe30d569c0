// Package node runs a router on the operators' platform: it reads the platform's configuration, makes a charter and
// links of it, and obeys the platform's signals. All that it serves by is the instance's, as for any other router.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"dapplefront/internal/controlclient"
	"dapplefront/internal/discovery"
	"dapplefront/internal/downstream"
	"dapplefront/internal/eds"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/platform"
	"dapplefront/internal/platformsettings"
	"dapplefront/internal/proxy"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
)

// File is the platform's configuration file.
type File struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Platform struct {
		Address string                 `json:"address"`
		News    platform.ReleaseStatus `json:"news"`
	} `json:"platform"`
	Known    discovery.EndpointList `json:"known"`
	Settings json.RawMessage        `json:"settings"`
}

// Config is a configuration that has been read whole and checked, and what follows from it.
type Config struct {
	File
	Router   *routerconfig.Config
	Release  policy.ReleaseStatus
	settings platformsettings.Settings
	values   platformsettings.Values
}

// Read reads the file that EDGE_CONFIG names; what it leaves out of name, listen and discovery is taken from EDGE_NAME,
// EDGE_LISTEN and EDGE_DISCOVERY. An error names the file and what is wrong in it.
func Read(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p, err := parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

func parse(text []byte) (*Config, error) {
	p := &Config{}
	if err := json.Unmarshal(text, &p.File); err != nil {
		var at *json.SyntaxError
		if errors.As(err, &at) {
			return nil, fmt.Errorf("byte %d: %w", at.Offset, err)
		}
		return nil, err
	}
	for name, at := range map[string]*string{"EDGE_NAME": &p.Name, "EDGE_LISTEN": &p.Listen, "EDGE_DISCOVERY": &p.Discovery} {
		if *at == "" {
			*at = os.Getenv(name)
		}
	}
	if p.Name == "" {
		return nil, errors.New("name is missing")
	}
	for _, a := range []struct{ name, value string }{{"listen", p.Listen}, {"discovery", p.Discovery},
		{"platform.address", p.Platform.Address}} {
		if at, err := netip.ParseAddrPort(a.value); err != nil || at.Port() == 0 && a.name != "listen" {
			return nil, fmt.Errorf("%s: a numeric address and a port expected, not %q", a.name, a.value)
		}
	}
	seed, err := strconv.ParseUint(p.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: up to 16 hexadecimal digits expected, not %q", p.Seed)
	}
	const leastMemory, leastSockets = 24, 64
	if l := p.Limits; l.Cores <= 0 || l.MemoryMB < leastMemory || l.Sockets < leastSockets {
		return nil, fmt.Errorf("limits: cores above 0, memory_mb from %d and sockets from %d expected", leastMemory, leastSockets)
	}
	if p.Release, err = p.Platform.News.Status(); err != nil {
		return nil, fmt.Errorf("platform.news: %w", err)
	}
	if err := p.Known.Check(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	pairs, err := platformsettings.Flatten(p.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := platformsettings.Check(pairs); err != nil {
		return nil, fmt.Errorf("settings.%s", strings.ReplaceAll(err.Error(), "\n", "; settings."))
	}
	p.values, p.settings = pairs, platformsettings.Read(pairs, seed)
	// Whatever the settings allow: the platform's protocol has no messages between routers, no probes and no counts, and
	// the module must not wait for what never comes.
	p.settings.Router.Limits.MaxGossipBytes, p.settings.Router.Limits.HealthChecks, p.settings.Router.Release.SampledShare = 0, false, 0
	p.Router = p.routerConfig(pairs)
	return p, nil
}

// fixedSettings are the settings that a running router can't change, by the ends of their paths.
var fixedSettings = []string{"MyZone", ".count", ".Name", ".Semantics", ".DedupScope", ".WindowUs", ".DeadlineUs", "Report.Fields",
	"Permissions.ConnIdleUs", "Permissions.ConnectTimeoutUs", "Extra.CallTimeoutUs"}

// checkChange tells by name what of another configuration a running router can't go over to.
func (p *Config) checkChange(to *Config) error {
	var all []string
	if p.Name != to.Name {
		all = append(all, "name")
	}
	if p.Listen != to.Listen {
		all = append(all, "listen")
	}
	if p.Limits != to.Limits {
		all = append(all, "limits")
	}
	paths := maps.Clone(p.values)
	maps.Copy(paths, to.values)
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if p.values[path] != to.values[path] && slices.ContainsFunc(fixedSettings, func(end string) bool { return strings.HasSuffix(path, end) }) {
			all = append(all, "settings."+path)
		}
	}
	if len(all) > 0 {
		return fmt.Errorf("%s: can't change in a running router", strings.Join(all, ", "))
	}
	return nil
}

var downstreamProtocol = &downstream.Protocol{Class: "Request-Class", Tenant: "Tenant", Timeout: "Request-Timeout-Ms",
	IdempotencyKey: "Idempotency-Key", Key: "Affinity-Key", ExpectedWork: "Work-Hint", ClientRetry: "Client-Retry", ID: "Request-Id", Strict: true,
	WorkUnitsPerTick: 100, DecimalRetryAfter: true, ReadinessPath: "/ready"}

// routerConfig is what an instance is told.
func (p *Config) routerConfig(pairs platformsettings.Values) *routerconfig.Config {
	const (
		head, body = 16 << 10, 64 << 10
		answer     = 1 << 20         // answers of over 64 KiB were seen: 8 in 100 on one day
		fixed      = 28              // descriptors: the poller, standard streams, listener, two lists, two feeds, votes
		edge       = 2 * time.Second // of the time that a host keeps an idle link: it may close it a little early
		drain      = 3 * time.Second // the longest patience, where it is longer

		// When all places are taken, whoever has said nothing for so long goes: who connects to ask has asked by then,
		// and a client whose idle connection ends opens another, while a newcomer turned away is a request refused.
		spare = 200 * time.Millisecond
	)
	span := func(path string) time.Duration { return time.Duration(pairs.Int(path)) * time.Microsecond }
	room := p.Limits.Sockets - fixed
	c := &routerconfig.Config{Name: p.Name, Listen: p.Listen, DrainTimeout: drain, MaxBodyBytes: p.Limits.MemoryMB << 20 / 6, Router: p.settings.Router}
	c.Upstream = upstream.Config{ConnectTimeout: max(span("Permissions.ConnectTimeoutUs"), 50*time.Millisecond),
		IdleTimeout:           max(span("Permissions.ConnIdleUs")-edge, span("Permissions.ConnIdleUs")/2, time.Second),
		MaxConnectionsPerHost: room, MaxConnections: room * 9 / 20, Limits: http1.Limits{Head: head, Body: answer, Framed: true}, Protocol: p.upstreamProtocol()}
	c.Downstream = downstream.Config{RouterName: p.Name, TransferTimeout: 2 * time.Second, IdleTimeout: 2100 * time.Millisecond, FirstRequestTimeout: 2300 * time.Millisecond,
		ReclaimIdleAfter: spare, MaxConnections: room - c.Upstream.MaxConnections, MaxPipelined: 1, Limits: http1.Limits{Head: head, Body: body},
		Protocol: downstreamProtocol}
	for i, x := range c.Router.Classes {
		k := downstream.Class{Name: x.Name, Timeout: eventloop.FromDuration(span(fmt.Sprintf("Categories.%d.DeadlineUs", i))), Method: "POST"}
		switch x.Idempotency {
		case policy.Idempotent:
			k.Method = "GET"
		case policy.IdempotentWithKey:
			k.RequiresIdempotencyKey = true
		case policy.NonIdempotent:
			k.ForbidsIdempotencyKey = true
		}
		if k.Timeout <= 0 {
			k.Timeout = eventloop.FromDuration(time.Minute)
		}
		c.DrainTimeout = max(c.DrainTimeout, eventloop.Duration(k.Timeout))
		c.Downstream.Classes = append(c.Downstream.Classes, k)
	}
	return c
}

// upstreamProtocol is how hosts are spoken to. Its load report is read by the fields that the settings name.
func (p *Config) upstreamProtocol() *upstream.Protocol {
	return &upstream.Protocol{Timeout: "Request-Timeout-Ms", NotStarted: "Not-Started", NotStartedStatuses: []int{503, 504}, OnlyStatusOK: true, StartsWhenComplete: true,
		Load: func(m *http1.Message) (*policy.LoadReport, error) {
			text, ok := m.Lookup("Server-Load")
			if !ok {
				return nil, nil
			}
			return p.settings.Report.Parse(text)
		}}
}

// Node is a router that serves on the platform.
type Node struct {
	config   *Config
	log      *slog.Logger
	instance *proxy.Proxy
	watch    *discovery.Watch
	platform *platform.Client
}

// Start starts a router; it listens when Start returns.
func Start(p *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: p, log: log}
	var err error
	n.instance, err = proxy.StartBy(proxy.Protocols{
		Discovery: func(hear eds.Handler) (proxy.Discovery, []eds.Host, error) {
			var known []eds.Host
			n.watch, known = discovery.Open(p.Discovery, p.Known, hear)
			return n.watch, known, nil
		},
		Release: func(hear controlclient.Handler) (proxy.ReleaseClient, error) {
			hear.Release(p.Release)
			n.platform = platform.Open(p.Platform.Address, eventloop.Duration(p.Router.Router.Release.VoteTimeout), n.watch.HostID, hear)
			return n.platform, nil
		},
		Ready: func() bool { return n.watch.Attempted() && n.platform.Attempted() }}, p.Router, log, nil)
	return n, err
}

// Reload goes over to another configuration: its addresses at once, its settings from one event to the next. What tells
// of the past in it - seed, list, news - is of a start alone. With an error nothing has changed.
func (n *Node) Reload(p *Config) error {
	if err := n.config.checkChange(p); err != nil {
		return err
	}
	p.Router.Router.Seed = n.config.Router.Router.Seed
	p.Router.Upstream.Protocol = n.config.Router.Upstream.Protocol // reads the same fields, as changes makes sure
	if !reflect.DeepEqual(p.Router, n.config.Router) {
		if err := n.instance.UpdateConfig(p.Router); err != nil {
			return err
		}
	}
	n.watch.SetAddress(p.Discovery)
	n.platform.SetAddress(p.Platform.Address)
	n.config = p
	n.log.Info("configuration anew", "discovery", p.Discovery, "platform", p.Platform.Address)
	return nil
}

// Shutdown ends the router as planned: for a while it goes on serving, as new connections still come, but each answer
// ends its connection; then it closes and waits for what it holds. It returns how many tasks were cut off.
func (n *Node) Shutdown(cut <-chan struct{}) int {
	const still, early = 750 * time.Millisecond, 200 * time.Millisecond // what arrives in the first 0.7 s is served
	const read = 100 * time.Millisecond                                 // for the last answers to be read
	within := n.config.Router.DrainTimeout - early
	n.instance.Bow(still + within - read)
	select {
	case <-time.After(still):
	case <-cut:
	}
	return n.instance.Drain(within, cut)
}

// Close ends the router at once.
func (n *Node) Close() { n.instance.Kill() }

// ApplyLimits holds the process to its limits: one core's worth of work at a time for a share of a core, and the collector
// within memory, of which the kernel's and the binary's part is left out.
func (p *Config) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(p.Limits.Cores)))
	debug.SetMemoryLimit(int64(p.Limits.MemoryMB) << 20 * 6 / 10)
	debug.SetGCPercent(200)
}
