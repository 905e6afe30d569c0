package node

import (
	"fmt"
	"net/http"
	"time"

	"dapplefront/internal/downstream"
	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/internal/platformsettings"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/upstream"
	"dapplefront/policy"
)

// Limits and timeouts that the platform's settings don't provide.
const (
	maxHeadBytes        = 16 << 10
	maxRequestBodyBytes = 64 << 10
	maxResponseBytes    = 1 << 20 // some hosts send more than the protocol's 64 KiB

	// reservedSockets is the number of descriptors reserved for uses other than client and host connections: the poller,
	// standard streams, the listener, up to five connections each for the discovery watch and the feed, and votes.
	reservedSockets = 28

	minConnectTimeout = 50 * time.Millisecond

	// idleMargin is subtracted from the hosts' idle timeout to get the router's idle timeout, because a host may close an
	// idle connection slightly early.
	idleMargin = 2 * time.Second

	transferTimeout     = 2 * time.Second
	clientIdleTimeout   = 2100 * time.Millisecond
	firstRequestTimeout = 2300 * time.Millisecond

	// reclaimIdleAfter is the minimum idle time of a client connection before it may be closed in favor of a new one at
	// the connection limit. A client whose idle connection is closed opens another, while a rejected connection is a
	// rejected request.
	reclaimIdleAfter = 200 * time.Millisecond

	// rejectedConnectionsShare is the divisor that gives the share of the client connections that is kept for rejecting the
	// requests of connections beyond the limit.
	rejectedConnectionsShare = 16

	defaultRequestTimeout = time.Minute // for a class whose DeadlineUs is less than a unit of policy.Time
)

// downstreamProtocol names the headers of "Clients to routers" in the operators' protocol page.
var downstreamProtocol = &downstream.Protocol{Class: "Request-Class", Tenant: "Tenant", Timeout: "Request-Timeout-Ms",
	IdempotencyKey: "Idempotency-Key", Key: "Affinity-Key", ExpectedWork: "Work-Hint", ClientRetry: "Client-Retry", ID: "Request-Id", Strict: true,
	WorkUnitsPerTick: 100, DecimalRetryAfter: true, ReadinessPath: "/ready"}

// upstreamProtocol names the headers of "Routers to hosts" in the operators' protocol page.
var upstreamProtocol = &upstream.Protocol{Timeout: "Request-Timeout-Ms", NotStarted: "Not-Started",
	NotStartedStatuses: []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, OnlyStatusOK: true, StartsWhenComplete: true,
	Load: loadReport}

// loadReport parses a response's load report. It returns nil if the response carries none.
func loadReport(m *http1.Message) (*policy.LoadReport, error) {
	text, ok := m.Lookup("Server-Load")
	if !ok {
		return nil, nil
	}
	return platformsettings.ParseReport(text)
}

// routerConfig derives the proxy's configuration from the file's limits and settings.
func (c *Config) routerConfig() *routerconfig.Config {
	sockets := max(minSockets-reservedSockets, min(c.Limits.Sockets-reservedSockets, c.memory.connections))
	maxUpstream := sockets * 9 / 20
	maxDownstream := sockets - maxUpstream
	rejected := maxDownstream / rejectedConnectionsShare
	idle := c.duration("Permissions.ConnIdleUs")
	r := &routerconfig.Config{Name: c.Name, Listen: c.Listen, MaxMessageBytes: c.memory.messages,
		Router: c.settings.Router}
	r.Upstream = upstream.Config{ConnectTimeout: max(c.duration("Permissions.ConnectTimeoutUs"), minConnectTimeout),
		IdleTimeout:           upstreamIdleTimeout(idle),
		MaxConnectionsPerHost: sockets, MaxConnections: maxUpstream,
		Limits: http1.Limits{Head: maxHeadBytes, Body: maxResponseBytes, RequireFraming: true}, Protocol: upstreamProtocol}
	r.Downstream = downstream.Config{RouterName: c.Name, TransferTimeout: transferTimeout, IdleTimeout: clientIdleTimeout,
		FirstRequestTimeout: firstRequestTimeout, ReclaimIdleAfter: reclaimIdleAfter, MaxConnections: maxDownstream - rejected,
		RejectedConnections: rejected, MaxPipelined: 1,
		Limits: http1.Limits{Head: maxHeadBytes, Body: maxRequestBodyBytes}, Protocol: downstreamProtocol}
	longestDeadline := time.Duration(0)
	for i, class := range r.Router.Classes {
		deadline := c.duration(fmt.Sprintf("Categories.%d.DeadlineUs", i))
		longestDeadline = max(longestDeadline, deadline)
		r.Downstream.Classes = append(r.Downstream.Classes, downstreamClass(class.Name, class.Idempotency, deadline))
	}
	r.KillAfter = earliestKillAfter(longestDeadline)
	return r
}

// upstreamIdleTimeout returns how long a connection may be idle before it is no longer used, for hosts that close connections
// that have been idle for hostIdle at the latest. Where hosts do so after a short time, half of it is left as a margin.
func upstreamIdleTimeout(hostIdle time.Duration) time.Duration {
	return max(hostIdle-idleMargin, hostIdle/2)
}

// duration returns the setting at path, which is in microseconds.
func (c *Config) duration(path string) time.Duration {
	return time.Duration(c.values.Int(path)) * time.Microsecond
}

// downstreamClass applies the rule of the protocol page that the class determines the method and whether an idempotency
// key is required or forbidden.
func downstreamClass(name string, idempotency policy.Idempotency, timeout time.Duration) downstream.Class {
	d := downstream.Class{Name: name, Timeout: eventloop.FromDuration(timeout), Method: http.MethodPost}
	switch idempotency {
	case policy.Idempotent:
		d.Method = http.MethodGet
	case policy.IdempotentWithKey:
		d.RequiresIdempotencyKey = true
	case policy.NonIdempotent:
		d.ForbidsIdempotencyKey = true
	}
	if d.Timeout <= 0 {
		d.Timeout = eventloop.FromDuration(defaultRequestTimeout)
	}
	return d
}
