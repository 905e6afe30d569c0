package downstream

import (
	"strconv"
	"strings"
	"time"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/policy"
)

// ticksPerMs is the number of units of policy.Time in a millisecond.
const ticksPerMs = policy.Second / 1000

// Values of the header Protocol.Outcome. They are part of the protocol.
const (
	outcomeSucceeded = "finished"
	outcomeRejected  = "turned-back"
	outcomeFailed    = "scrapped"
)

// Protocol describes what differs between protocols: the headers that describe a request, and those that describe the
// outcome in a response. A header whose name is empty is not part of the protocol.
type Protocol struct {
	Class, Tenant, Timeout, IdempotencyKey, Key, ExpectedWork, ClientRetry string // names of request headers

	ID                string      // request header with an id that the client chooses; required, and unique among the requests in flight
	Strict            bool        // none of these headers may occur twice; the timeout is required, in whole milliseconds
	WorkUnitsPerTick  policy.Time // number by which the value of ExpectedWork is divided to get a policy.Time; 0 means that the value is a duration with a unit, or in whole ms
	Outcome           string      // response header with the outcome
	Host              string      // response header with the host's id, if the response is a host's
	RetryAfterMs      string      // header of a rejection with the delay before a retry in milliseconds, in addition to Retry-After
	DecimalRetryAfter bool        // Retry-After is in seconds with three decimals; otherwise in whole seconds
	ReadinessPath     string      // path that reports whether the router is ready; empty if there is none
}

// DefaultProtocol is this project's own protocol.
var DefaultProtocol = &Protocol{
	Class:          "Dapplefront-Category",
	Tenant:         "Dapplefront-Customer",
	Timeout:        "Dapplefront-Patience",
	IdempotencyKey: "Idempotency-Key",
	Key:            "Dapplefront-Key",
	ExpectedWork:   "Dapplefront-Work",
	ClientRetry:    "Dapplefront-Again",
	Outcome:        "Dapplefront-Outcome",
	Host:           "Dapplefront-Host",
	RetryAfterMs:   "Dapplefront-Retry-After-Ms",
}

// Indexes of requestHeaders.
const (
	classHeader = iota
	tenantHeader
	timeoutHeader
	idempotencyKeyHeader
	keyHeader
	expectedWorkHeader
	clientRetryHeader
	idHeader
	headerCount
)

// requestHeaders are the headers by which a request describes itself.
type requestHeaders [headerCount]struct {
	value   string
	present bool
}

func (p *Protocol) requestHeaderNames() *[headerCount]string {
	return &[headerCount]string{classHeader: p.Class, tenantHeader: p.Tenant, timeoutHeader: p.Timeout,
		idempotencyKeyHeader: p.IdempotencyKey, keyHeader: p.Key, expectedWorkHeader: p.ExpectedWork,
		clientRetryHeader: p.ClientRetry, idHeader: p.ID}
}

// readHeaders reads the headers with the given names from a request. If a name occurs more than once, the last value
// counts, or in strict protocols the request is refused.
func (p *Protocol) readHeaders(m *http1.Message, names *[headerCount]string) (headers requestHeaders, err *http1.Error) {
	for i := range m.Fields {
		f := &m.Fields[i]
		for n, name := range names {
			if len(name) != len(f.Name) || !strings.EqualFold(name, f.Name) {
				continue
			}
			if headers[n].present && p.Strict {
				return headers, badRequest(name + " stands twice")
			}
			headers[n].value, headers[n].present = f.Value, true
		}
	}
	return headers, nil
}

// parseTimeout parses the timeout that a client gives its request.
func (p *Protocol) parseTimeout(text string) (policy.Time, bool) {
	if p.Strict {
		n, err := strconv.ParseUint(text, 10, 31)
		return policy.Time(n) * ticksPerMs, err == nil && n > 0 && text[0] != '+'
	}
	timeout, ok := parseDuration(text)
	return timeout, ok && timeout > 0
}

// parseWork parses the expected work of a request.
func (p *Protocol) parseWork(text string) (policy.Time, bool) {
	if p.WorkUnitsPerTick > 0 {
		n, err := strconv.ParseFloat(text, 64)
		return policy.Time(n) / p.WorkUnitsPerTick, err == nil && n >= 0 && n < 1e12
	}
	work, ok := parseDuration(text)
	return work, ok && work >= 0
}

// parseDuration parses a duration with a unit, or a number of whole milliseconds.
func parseDuration(text string) (policy.Time, bool) {
	if n, err := strconv.ParseUint(text, 10, 32); err == nil {
		return policy.Time(n) * ticksPerMs, true
	}
	d, err := time.ParseDuration(text)
	return eventloop.FromDuration(d), err == nil && d < time.Hour*24*365
}

// appendRetryAfter appends the headers that contain the delay before a retry, unless the delay is 0.
func (p *Protocol) appendRetryAfter(head []byte, after policy.Time) []byte {
	switch {
	case after <= 0:
		return head
	case p.DecimalRetryAfter:
		head = http1.AppendField(head, "Retry-After", strconv.FormatFloat(float64(after)/float64(policy.Second), 'f', 3, 64))
	default:
		head = http1.AppendField(head, "Retry-After", strconv.FormatInt(int64((after+policy.Second-1)/policy.Second), 10))
	}
	if p.RetryAfterMs != "" {
		head = http1.AppendField(head, p.RetryAfterMs, strconv.FormatInt(int64(after/ticksPerMs), 10))
	}
	return head
}

// appendOutcome appends the header with the outcome of a request, if the protocol has one.
func (p *Protocol) appendOutcome(head []byte, outcome string) []byte {
	if p.Outcome == "" {
		return head
	}
	return http1.AppendField(head, p.Outcome, outcome)
}

// isOwnHeader reports whether the router sets a response header itself. The host's value is not forwarded.
func (p *Protocol) isOwnHeader(name string) bool {
	return len(name) == len(p.Outcome) && strings.EqualFold(name, p.Outcome) ||
		len(name) == len(p.Host) && strings.EqualFold(name, p.Host)
}
