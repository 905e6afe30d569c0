package eventloop

import (
	"time"

	"dapplefront/policy"
)

// tick is the unit of policy.Time.
const tick = 100 * time.Microsecond

// clock is a monotonic clock: changes of the system clock don't affect it after its creation.
type clock struct {
	start   time.Time   // when the clock was created, with a monotonic reading
	startAt policy.Time // the same moment as time since the Unix epoch
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, startAt: policy.Time(now.UnixMicro() / tick.Microseconds())}
}

func (c *clock) now() policy.Time { return c.startAt + policy.Time(c.elapsed()/tick) }

// elapsed returns the time since the clock was created.
func (c *clock) elapsed() time.Duration { return time.Since(c.start) }

// wallStep returns by how much the wall clock has been set forward since the clock was created; it is negative if the wall
// clock has been set back.
func (c *clock) wallStep() time.Duration {
	return time.Now().Round(0).Sub(c.start.Round(0)) - c.elapsed()
}

// FromDuration converts a duration to policy.Time, rounded towards zero.
func FromDuration(d time.Duration) policy.Time { return policy.Time(d / tick) }

// Duration converts a policy.Time to a duration.
func Duration(t policy.Time) time.Duration { return time.Duration(t) * tick }
