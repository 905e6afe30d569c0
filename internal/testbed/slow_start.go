package testbed

import (
	"math"
	"time"
)

// arrival is a request that reached a backend in warm-up.
type arrival struct {
	at   time.Time
	work float64 // seconds
}

// capacity returns how many seconds of work per second the backend can do at the given age, without faults. During the
// warm-up it grows linearly from the share ColdCapacity to the full capacity.
func (b *Backend) capacity(age time.Duration) float64 {
	full := float64(b.Cores) * b.Speed
	if b.StartedAt.IsZero() || age >= b.WarmUp {
		return full
	}
	return full * (b.ColdCapacity + (1-b.ColdCapacity)*math.Max(0, age.Seconds())/b.WarmUp.Seconds())
}

// overloadsCold reports whether this arrival makes a backend in warm-up break down. Without this arrival, the average load of
// the last ColdOverloadWindow must be more than ColdOverloadFactor times the capacity at the start of the window. A backend
// that has broken down does not recover. The caller holds b.mu.
func (b *Backend) overloadsCold(now time.Time, work float64) bool {
	if b.StartedAt.IsZero() || now.Sub(b.StartedAt) > b.WarmUp || b.ColdOverloadFactor == 0 {
		return false
	}
	b.recentArrivals = append(b.recentArrivals, arrival{now, work})
	sum := 0.0
	for _, a := range b.recentArrivals {
		if now.Sub(a.at) < b.ColdOverloadWindow {
			sum += a.work
		}
	}
	windowStart := max(0, now.Sub(b.StartedAt)-b.ColdOverloadWindow)
	b.coldOverloaded = sum > b.ColdOverloadFactor*b.capacity(windowStart)*b.ColdOverloadWindow.Seconds()+work
	return b.coldOverloaded
}
