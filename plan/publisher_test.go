package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newPublisher() *Publisher {
	return &Publisher{Tolerance: .1, HoldTime: 5 * time.Second, ValidFor: time.Minute}
}

func TestPublisherMovesOneWeightWhenOneHostChanges(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100, "south": 100}, hostsIn("north", 50, 1), hostsIn("south", 50, 1))
	k := newPublisher()
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
	require.Less(t, o.Published.ByZone["north"].Local["north-0"], uint64(330_001))
	warm := back
	warm.Forecast = []Forecast{{At: 9 * time.Second, Demand: m.Forecast[0].Demand}}
	o, err = k.Update(9*time.Second, &warm)
	require.NoError(t, err)
	require.Equal(t, 1, o.Changed)
	require.Equal(t, uint64(1_000_000), o.Published.ByZone["north"].Local["north-0"])
}

func TestPublisherRecomputesAtOnceWhenALossBreaksALimit(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100, "south": 100}, hostsIn("north", 12, 1), hostsIn("south", 20, 1))
	k := newPublisher()
	_, err := k.Update(0, m)
	require.NoError(t, err)
	gone := *m
	gone.Hosts = m.Hosts[4:] // eight are left for ten hosts' work
	o, err := k.Update(time.Second, &gone)
	require.NoError(t, err)
	require.True(t, o.Recomputed)
	require.Equal(t, uint64(200_000_000), o.Published.ByZone["north"].CrossZoneShare)
}

func TestPublisherHoldsBackASmallImprovement(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100, "south": 20}, hostsIn("north", 8, 1), hostsIn("south", 20, 1))
	k := newPublisher()
	_, err := k.Update(0, m)
	require.NoError(t, err)
	cross := k.Last().ByZone["north"].CrossZoneShare
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
			require.Equal(t, cross, k.Last().ByZone["north"].CrossZoneShare, "second %d", s)
		}
	}
	require.Zero(t, k.Last().ByZone["north"].CrossZoneShare, "it has been better for long enough")
	require.LessOrEqual(t, versions, 9, "one for each coming and going, one for the better plan")
}

func TestPublishersWithTheSameModelsPublishTheSame(t *testing.T) {
	a, b := newPublisher(), newPublisher()
	m := singleClassModel(map[string]float64{"north": 100, "south": 20, "port": 60}, hostsIn("north", 9, 1), hostsIn("south", 20, 1), hostsIn("port", 7, 1))
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

func TestARestoredPublisherContinuesFromTheVersionInForce(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100}, hostsIn("north", 20, 1))
	a, b := newPublisher(), newPublisher()
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
