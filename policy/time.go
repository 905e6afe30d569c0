package policy

// Time is a point in time or a duration, in units of 0.1 ms. Points in time count from a zero that the owner chooses.
type Time int64

// Second is one second as a Time.
const Second Time = 10_000
