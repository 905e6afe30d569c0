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

// capacity returns how many seconds of work per second the backend can do at an age, without faults. During the warm-up it
// grows linearly from the share ColdCapacity to the full capacity.
func (b *Backend) capacity(age time.Duration) float64 {
	full := float64(b.Cores) * b.Speed
	if b.StartedAt.IsZero() || age >= b.WarmUp {
		return full
	}
	return full * (b.ColdCapacity + (1-b.ColdCapacity)*math.Max(0, age.Seconds())/b.WarmUp.Seconds())
}

// overloadsCold reports whether a backend in warm-up breaks down with this arrival. It does if the load of the last
// ColdOverloadWindow, beyond this arrival, is more than ColdOverloadFactor times its capacity at the start of the window.
// The backend stays broken. The caller holds b.mu.
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
