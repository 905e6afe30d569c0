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
	Category, Customer, Patience, Mark, Key, Hint, Again string // fields of a request

	ID      string      // the field that names a request, as no other open one is named; it must be there
	Exact   bool        // no field of these twice; patience must be told, in whole milliseconds
	HintIn  policy.Time // so many of a hint's units are a tenth of a millisecond; 0 where it bears its unit
	Outcome string      // field of an answer
	Host    string      // field of an answer that a host gave
	StayMs  string      // field of a turn-back, beside Retry-After
	Decimal bool        // Retry-After may have decimals
	Ready   string      // the path that tells whether the router is ready; empty for none
}

// DefaultProtocol is this project's own wording.
var DefaultProtocol = &Protocol{Category: "Dapplefront-Category", Customer: "Dapplefront-Customer", Patience: "Dapplefront-Patience",
	Mark: "Idempotency-Key", Key: "Dapplefront-Key", Hint: "Dapplefront-Work", Again: "Dapplefront-Again",
	Outcome: "Dapplefront-Outcome", Host: "Dapplefront-Host", StayMs: "Dapplefront-Retry-After-Ms"}

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
func (w *Protocol) read(m *http1.Message, which *[fields]string) (t told, wrong *http1.Bad) {
	for i := range m.Fields {
		f := &m.Fields[i]
		for n, name := range which {
			if len(name) != len(f.Name) || !strings.EqualFold(name, f.Name) {
				continue
			}
			if t[n].there && w.Exact {
				return t, &http1.Bad{Status: 400, Text: name + " stands twice"}
			}
			t[n].value, t[n].there = f.Value, true
		}
	}
	return t, nil
}

func (w *Protocol) names() *[fields]string {
	return &[fields]string{category: w.Category, customer: w.Customer, patience: w.Patience, mark: w.Mark, key: w.Key,
		hint: w.Hint, again: w.Again, name: w.ID}
}

// span reads how long a client waits.
func (w *Protocol) span(text string) (policy.Time, bool) {
	if w.Exact {
		n, err := strconv.ParseUint(text, 10, 31)
		return policy.Time(n) * 10, err == nil && n > 0 && text[0] != '+'
	}
	span, ok := readSpan(text)
	return span, ok && span > 0
}

// work reads a hint.
func (w *Protocol) work(text string) (policy.Time, bool) {
	if w.HintIn > 0 {
		n, err := strconv.ParseFloat(text, 64)
		return policy.Time(n) / w.HintIn, err == nil && n >= 0 && n < 1e12
	}
	span, ok := readSpan(text)
	return span, ok && span >= 0
}

// stay appends when to come back.
func (w *Protocol) stay(head []byte, stay policy.Time) []byte {
	switch {
	case stay <= 0:
		return head
	case w.Decimal:
		head = http1.AppendField(head, "Retry-After", strconv.FormatFloat(float64(stay)/float64(policy.Second), 'f', 3, 64))
	default:
		head = http1.AppendField(head, "Retry-After", strconv.FormatInt(int64((stay+policy.Second-1)/policy.Second), 10))
	}
	if w.StayMs != "" {
		head = http1.AppendField(head, w.StayMs, strconv.FormatInt(int64(stay/10), 10))
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
