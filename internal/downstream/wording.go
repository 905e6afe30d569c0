package downstream

import (
	"strconv"
	"strings"

	"dapplefront/internal/http1"
	"dapplefront/policy"
)

// Protocol is what differs by protocol in how requests say what they are, and answers what became of them. A field that
// is empty has no part in a protocol.
type Protocol struct {
	Class, Tenant, Timeout, IdempotencyKey, Key, ExpectedWork, ClientRetry string // fields of a request

	ID                string      // the field that names a request, as no other open one is named; it must be there
	Strict            bool        // no field of these twice; patience must be told, in whole milliseconds
	WorkUnitsPerTick  policy.Time // so many of a hint's units are a tenth of a millisecond; 0 where it bears its unit
	Outcome           string      // field of an answer
	Host              string      // field of an answer that a host gave
	RetryAfterMs      string      // field of a turn-back, beside Retry-After
	DecimalRetryAfter bool        // Retry-After may have decimals
	ReadinessPath     string      // the path that tells whether the router is ready; empty for none
}

// DefaultProtocol is this project's own wording.
var DefaultProtocol = &Protocol{Class: "Dapplefront-Category", Tenant: "Dapplefront-Customer", Timeout: "Dapplefront-Patience",
	IdempotencyKey: "Idempotency-Key", Key: "Dapplefront-Key", ExpectedWork: "Dapplefront-Work", ClientRetry: "Dapplefront-Again",
	Outcome: "Dapplefront-Outcome", Host: "Dapplefront-Host", RetryAfterMs: "Dapplefront-Retry-After-Ms"}

// The fields of a request, as told.
const (
	category = iota
	customer
	patience
	mark
	key
	hint
	again
	name
	fields
)

// told is what a request says of itself, by field.
type told [fields]struct {
	value string
	there bool
}

// read reads a request's fields; which holds their names.
func (w *Protocol) read(m *http1.Message, which *[fields]string) (t told, wrong *http1.Error) {
	for i := range m.Fields {
		f := &m.Fields[i]
		for n, name := range which {
			if len(name) != len(f.Name) || !strings.EqualFold(name, f.Name) {
				continue
			}
			if t[n].there && w.Strict {
				return t, &http1.Error{Status: 400, Text: name + " stands twice"}
			}
			t[n].value, t[n].there = f.Value, true
		}
	}
	return t, nil
}

func (w *Protocol) names() *[fields]string {
	return &[fields]string{category: w.Class, customer: w.Tenant, patience: w.Timeout, mark: w.IdempotencyKey, key: w.Key,
		hint: w.ExpectedWork, again: w.ClientRetry, name: w.ID}
}

// span reads how long a client waits.
func (w *Protocol) span(text string) (policy.Time, bool) {
	if w.Strict {
		n, err := strconv.ParseUint(text, 10, 31)
		return policy.Time(n) * 10, err == nil && n > 0 && text[0] != '+'
	}
	span, ok := readSpan(text)
	return span, ok && span > 0
}

// work reads a hint.
func (w *Protocol) work(text string) (policy.Time, bool) {
	if w.WorkUnitsPerTick > 0 {
		n, err := strconv.ParseFloat(text, 64)
		return policy.Time(n) / w.WorkUnitsPerTick, err == nil && n >= 0 && n < 1e12
	}
	span, ok := readSpan(text)
	return span, ok && span >= 0
}

// stay appends when to come back.
func (w *Protocol) stay(head []byte, stay policy.Time) []byte {
	switch {
	case stay <= 0:
		return head
	case w.DecimalRetryAfter:
		head = http1.AppendField(head, "Retry-After", strconv.FormatFloat(float64(stay)/float64(policy.Second), 'f', 3, 64))
	default:
		head = http1.AppendField(head, "Retry-After", strconv.FormatInt(int64((stay+policy.Second-1)/policy.Second), 10))
	}
	if w.RetryAfterMs != "" {
		head = http1.AppendField(head, w.RetryAfterMs, strconv.FormatInt(int64(stay/10), 10))
	}
	return head
}

// outcome appends what became of a task.
func (w *Protocol) outcome(head []byte, what string) []byte {
	if w.Outcome == "" {
		return head
	}
	return http1.AppendField(head, w.Outcome, what)
}

// ours tells the fields that only this side may set.
func (w *Protocol) ours(name string) bool {
	return len(name) == len(w.Outcome) && strings.EqualFold(name, w.Outcome) ||
		len(name) == len(w.Host) && strings.EqualFold(name, w.Host)
}
