package downstream

import (
	"strconv"
	"strings"
	"time"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/policy"
)

// ticksPerMs is how many units of policy.Time make a millisecond.
const ticksPerMs = policy.Second / 1000

// The values of the header Protocol.Outcome. They are part of the protocol.
const (
	outcomeSucceeded = "finished"
	outcomeRejected  = "turned-back"
	outcomeFailed    = "scrapped"
)

// Protocol is what differs by protocol in what requests say of themselves, and responses of their outcome. A header
// whose name is empty is not part of a protocol.
type Protocol struct {
	Class, Tenant, Timeout, IdempotencyKey, Key, ExpectedWork, ClientRetry string // headers of a request

	ID                string      // header with the client's id of a request; required, and unique among open requests
	Strict            bool        // none of these headers twice; the timeout is required, in whole milliseconds
	WorkUnitsPerTick  policy.Time // units of expected work that make a policy.Time; 0 where it has a unit of its own
	Outcome           string      // header of a response
	Host              string      // header of a host's response
	RetryAfterMs      string      // header of a rejection, beside Retry-After
	DecimalRetryAfter bool        // Retry-After has decimals
	ReadinessPath     string      // path that reports whether the router is ready; empty for none
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

// Headers of a request, as indexes of requestHeaders.
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

// readHeaders reads a request's headers by their names. The last one of a name counts.
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

// parseTimeout reads how long a client waits for its response.
func (p *Protocol) parseTimeout(text string) (policy.Time, bool) {
	if p.Strict {
		n, err := strconv.ParseUint(text, 10, 31)
		return policy.Time(n) * ticksPerMs, err == nil && n > 0 && text[0] != '+'
	}
	timeout, ok := parseSpan(text)
	return timeout, ok && timeout > 0
}

// parseWork reads the expected work of a request.
func (p *Protocol) parseWork(text string) (policy.Time, bool) {
	if p.WorkUnitsPerTick > 0 {
		n, err := strconv.ParseFloat(text, 64)
		return policy.Time(n) / p.WorkUnitsPerTick, err == nil && n >= 0 && n < 1e12
	}
	work, ok := parseSpan(text)
	return work, ok && work >= 0
}

// parseSpan reads a time with its unit, or whole milliseconds.
func parseSpan(text string) (policy.Time, bool) {
	if n, err := strconv.ParseUint(text, 10, 32); err == nil {
		return policy.Time(n) * ticksPerMs, true
	}
	d, err := time.ParseDuration(text)
	return eventloop.FromDuration(d), err == nil && d < time.Hour*24*365
}

// appendRetryAfter appends when to try again; nothing for 0.
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

// appendOutcome appends what became of a request.
func (p *Protocol) appendOutcome(head []byte, outcome string) []byte {
	if p.Outcome == "" {
		return head
	}
	return http1.AppendField(head, p.Outcome, outcome)
}

// isOwnHeader reports whether a response's header is set by the router alone.
func (p *Protocol) isOwnHeader(name string) bool {
	return len(name) == len(p.Outcome) && strings.EqualFold(name, p.Outcome) ||
		len(name) == len(p.Host) && strings.EqualFold(name, p.Host)
}
