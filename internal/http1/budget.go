package http1

import "sync/atomic"

const (
	// smallMessage is the number of bytes up to which a message counts as small.
	smallMessage = 4 << 10

	// largeShare is the divisor that gives the share of a budget that only small messages may use. Clients that fill the budget
	// with large messages thereby leave room for the requests and responses of others.
	largeShare = 4
)

// Budget limits the total number of bytes that messages hold: their heads, fields and bodies, complete or not. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n more bytes for a message that holds so many afterwards. If that would exceed the limit for messages of
// its size, it reserves none and reports false.
func (b *Budget) Reserve(n, held int) bool {
	limit := b.limit
	if held > smallMessage {
		limit -= limit / largeShare
	}
	if b.used.Add(int64(n)) > limit && n > 0 {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

// Release returns n bytes to the budget.
func (b *Budget) Release(n int) { b.used.Add(int64(-n)) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// LargeExhausted reports whether large messages find little or no room: less than an eighth of their share is left.
func (b *Budget) LargeExhausted() bool {
	large := b.limit - b.limit/largeShare
	return b.used.Load() > large-large/8
}
