package plan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func keeper() *Publisher {
	return &Publisher{Tolerance: .1, HoldTime: 5 * time.Second, ValidFor: time.Minute}
}

func TestOneHostsChangeMovesOneWeight(t *testing.T) {
	m := simple(map[string]float64{"north": 100, "south": 100}, several("north", 50, 1), several("south", 50, 1))
	k := keeper()
	o, err := k.Update(0, m)
	require.NoError(t, err)
	require.True(t, o.Recomputed)
	require.Equal(t, uint64(1), o.Published.Version)
	o, err = k.Update(time.Second, m)
	require.NoError(t, err)
	require.Nil(t, o.Published, "nothing new, nothing published")

	gone := *m
	gone.Hosts = m.Hosts[1:]
	o, err = k.Update(2*time.Second, &gone)
	require.NoError(t, err)
	require.Equal(t, Update{Published: o.Published, Changed: 1, Reason: "hosts came, left or warmed"}, o)

	back := *m // it comes back cold: bounded, one weight again
	back.Hosts = append([]Host{}, m.Hosts...)
	back.Hosts[0].StartsAt = 3 * time.Second
	back.Forecast = []Forecast{{At: 3 * time.Second, Demand: m.Forecast[0].Demand}}
	o, err = k.Update(3*time.Second, &back)
	require.NoError(t, err)
	require.Equal(t, 1, o.Changed)
	require.Less(t, o.Published.For["north"].Near["north-0"], uint64(330_001))
	warm := back
	warm.Forecast = []Forecast{{At: 9 * time.Second, Demand: m.Forecast[0].Demand}}
	o, err = k.Update(9*time.Second, &warm)
	require.NoError(t, err)
	require.Equal(t, 1, o.Changed)
	require.Equal(t, uint64(1_000_000), o.Published.For["north"].Near["north-0"])
}

func TestALossThatBreaksABoundIsPublishedAtOnce(t *testing.T) {
	m := simple(map[string]float64{"north": 100, "south": 100}, several("north", 12, 1), several("south", 20, 1))
	k := keeper()
	_, err := k.Update(0, m)
	require.NoError(t, err)
	gone := *m
	gone.Hosts = m.Hosts[4:] // eight are left for ten hosts' work
	o, err := k.Update(time.Second, &gone)
	require.NoError(t, err)
	require.True(t, o.Recomputed)
	require.Equal(t, uint64(200_000_000), o.Published.For["north"].Cross)
}

func TestWhatIsALittleBetterWaits(t *testing.T) {
	m := simple(map[string]float64{"north": 100, "south": 20}, several("north", 8, 1), several("south", 20, 1))
	k := keeper()
	_, err := k.Update(0, m)
	require.NoError(t, err)
	cross := k.Last().For["north"].Cross
	require.Equal(t, uint64(200_000_000), cross)
	more := *m // enough hosts now; crossing goes on for a while, lest it flutter
	more.Hosts = append(append([]Host{}, m.Hosts...), Host{Name: "more", Zone: "north", Build: 1, Weight: 4, StartsAt: -week})
	versions := 0
	for s := 1; s <= 20; s++ {
		now := &more
		if s%2 == 0 && s < 8 {
			now = m
		}
		o, err := k.Update(time.Duration(s)*time.Second, now)
		require.NoError(t, err)
		if o.Published != nil {
			versions++
		}
		if s < 8 {
			require.Equal(t, cross, k.Last().For["north"].Cross, "second %d", s)
		}
	}
	require.Zero(t, k.Last().For["north"].Cross, "it has been better for long enough")
	require.LessOrEqual(t, versions, 9, "one for each coming and going, one for the better plan")
}

func TestControllersThatHearTheSamePublishTheSame(t *testing.T) {
	a, b := keeper(), keeper()
	m := simple(map[string]float64{"north": 100, "south": 20, "port": 60}, several("north", 9, 1), several("south", 20, 1), several("port", 7, 1))
	r := rand.New(rand.NewPCG(4, 4))
	for s := range 60 {
		now := *m
		now.Forecast = []Forecast{{At: time.Duration(s) * time.Second, Demand: m.Forecast[0].Demand}}
		now.Hosts = append([]Host{}, m.Hosts...)
		if s%3 == 1 {
			now.Hosts[r.IntN(36)].StartsAt = time.Duration(s) * time.Second
			m = &now
		}
		other := now
		other.Hosts = append([]Host{}, now.Hosts...)
		r.Shuffle(len(other.Hosts), func(i, j int) { other.Hosts[i], other.Hosts[j] = other.Hosts[j], other.Hosts[i] })
		x, err := a.Update(time.Duration(s)*time.Second, &now)
		require.NoError(t, err)
		y, err := b.Update(time.Duration(s)*time.Second, &other)
		require.NoError(t, err)
		require.Equal(t, x, y)
	}
	require.Greater(t, a.Last().Version, uint64(5))
}

func TestAnInstanceThatTakesOverGoesOnFromWhatIsInForce(t *testing.T) {
	m := simple(map[string]float64{"north": 100}, several("north", 20, 1))
	a, b := keeper(), keeper()
	_, err := a.Update(0, m)
	require.NoError(t, err)
	b.Restore(a.Last())
	gone := *m
	gone.Hosts = m.Hosts[1:]
	x, err := a.Update(time.Second, &gone)
	require.NoError(t, err)
	y, err := b.Update(time.Second, &gone)
	require.NoError(t, err)
	require.Equal(t, x, y)
	require.Equal(t, uint64(2), y.Published.Version)
}

func offered(version uint64, weights ...float64) Offered {
	o := Offered{Version: version, ValidFor: time.Minute, Build: 2, ShadowShare: .05}
	for i, w := range weights {
		o.LocalWeights = append(o.LocalWeights, HostWeight{uint32(i + 1), w})
	}
	return o
}

func TestAVersionIsTurnedDownForAReason(t *testing.T) {
	fleet := Fleet{Build: 2, Cap: .05, Cold: 5 * time.Second, Hosts: map[uint32]Known{1: {Near: true, Size: 1, Age: week},
		2: {Near: true, Size: 1, Age: week}, 3: {Near: true, Size: 1, Age: time.Second}, 4: {Near: true, Size: 1, Age: week, Trial: true}}}
	var f Follower
	require.NoError(t, f.Offer(offered(5, 1, 1, .3), fleet))
	for want, o := range map[string]Offered{
		"older than version 5":      offered(4, 1, 1),
		"in force already":          offered(5, 1, 1),
		"out of date":               func() Offered { o := offered(6, 1, 1); o.ValidFor = 0; return o }(),
		"would break the cap":       func() Offered { o := offered(6, 1, 1); o.ShadowShare = .06; return o }(),
		"runs a build on trial":     offered(6, 1, 1, .3, 1),
		"has just started":          offered(6, 1, 1, 1.1),
		"has the weight -1":         offered(6, -1, 1),
		"speaks of other hosts":     offered(6, 0, 0),
		"3 of 7 are known":          {Version: 6, ValidFor: 1, LocalWeights: []HostWeight{{1, 1}, {2, 1}, {3, 0}, {91, 1}, {92, 1}, {93, 1}, {94, 1}}},
		"shares from 0 to 1 expect": func() Offered { o := offered(6, 1, 1); o.CrossZoneShare = 1.5; return o }(),
	} {
		require.ErrorContains(t, f.Offer(o, fleet), want)
		require.Equal(t, uint64(5), f.Held(), "the last good one stays")
	}
	require.NoError(t, f.Offer(offered(7, 1, 1), fleet))
}

// spread is a fleet of three locations with five categories over twelve steps.
func spread(hosts int) *Model {
	m := simple(nil)
	r := rand.New(rand.NewPCG(1, 1))
	m.Limits.MaxCrossZone, m.Limits.Reserve = .3, .05
	m.Classes, m.Forecast = nil, nil
	for i := range 5 {
		m.Classes = append(m.Classes, Class{Name: fmt.Sprint("c", i), Work: .02 + .01*float64(i), PriorityWeight: float64(1 + i)})
	}
	places := []string{"north", "port", "south"}
	can := map[string]float64{}
	for i := range hosts {
		h := Host{Name: fmt.Sprintf("h%05d", i), Zone: places[i%3], Build: 1, Weight: 1 + r.Float64(), StartsAt: -week}
		if r.IntN(10) == 0 {
			h.StartsAt = -time.Duration(r.IntN(4000)) * time.Millisecond
		}
		can[h.Zone] += h.Weight
		m.Hosts = append(m.Hosts, h)
	}
	for n := range 12 {
		var d []Demand
		for p, place := range places {
			load := .5 + .45*float64((n+4*p)%12)/11 // one location after the other comes to its peak
			for i, c := range m.Classes {
				d = append(d, Demand{place, c.Name, can[place] * load / 5 / (.02 + .01*float64(i)), 0})
			}
		}
		m.Forecast = append(m.Forecast, Forecast{At: time.Duration(n) * time.Hour, Demand: d})
	}
	return m
}

func BenchmarkSolve(b *testing.B) {
	for _, n := range []int{8, 30, 300, 3000, 10000} {
		m := spread(n)
		b.Run(fmt.Sprintf("hosts=%d/steps=12", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Solve(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkStrainedStep(b *testing.B) {
	for _, n := range []int{30, 300, 3000, 10000} {
		m := spread(n)
		for i := range m.Forecast[0].Demand[:5] {
			m.Forecast[0].Demand[i].Rate *= 2.1 // north must cross
		}
		m.Forecast = m.Forecast[:1]
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Solve(m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkOneHostsChange(b *testing.B) {
	for _, n := range []int{300, 3000, 10000} {
		m := spread(n)
		m.Forecast = m.Forecast[:1]
		gone := *m
		gone.Hosts = m.Hosts[1:]
		b.Run(fmt.Sprintf("carried/hosts=%d", n), func(b *testing.B) {
			k := keeper()
			for i := 0; b.Loop(); i++ {
				o, err := k.Update(0, []*Model{m, &gone}[i%2])
				if err != nil || i > 0 && (o.Recomputed || o.Changed != 1) {
					b.Fatal(o, err)
				}
			}
		})
		b.Run(fmt.Sprintf("anew/hosts=%d", n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				if _, err := keeper().Update(0, []*Model{m, &gone}[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
