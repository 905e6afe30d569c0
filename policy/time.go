package policy

// Time is a moment or a span in tenths of a millisecond. Moments count from a zero that is the owner's choice.
type Time int64

// Second is one second as a Time.
const Second Time = 10_000
