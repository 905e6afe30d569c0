package policy

// Time is a moment or a span in whole tenths of a millisecond.
type Time int64

// Second is the unit that long spans are written in.
const Second Time = 10_000
