package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newPublisher() *Publisher {
	return &Publisher{Tolerance: .1, RecomputeDelay: 5 * time.Second, ValidFor: time.Minute}
}

func TestPublisher_ChangesOneWeightWhenOneHostChanges(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100, "south": 100}, hostsIn("north", 50, 1), hostsIn("south", 50, 1))
	publisher := newPublisher()
	o, err := publisher.Update(0, m)
	require.NoError(t, err)
	require.True(t, o.Recomputed)
	require.Equal(t, uint64(1), o.Published.Version)
	o, err = publisher.Update(time.Second, m)
	require.NoError(t, err)
	require.Nil(t, o.Published, "an unchanged fleet publishes no version")

	withoutHost := *m
	withoutHost.Hosts = m.Hosts[1:]
	o, err = publisher.Update(2*time.Second, &withoutHost)
	require.NoError(t, err)
	require.Equal(t, Update{Published: o.Published, Changed: 1, Reason: "hosts came, left or warmed"}, o)

	restarted := *m // the host restarts and has a rate bound during slow start: again one weight changes
	restarted.Hosts = append([]Host{}, m.Hosts...)
	restarted.Hosts[0].StartsAt = 3 * time.Second
	restarted.Forecast = []Forecast{{At: 3 * time.Second, Demand: m.Forecast[0].Demand}}
	o, err = publisher.Update(3*time.Second, &restarted)
	require.NoError(t, err)
	require.Equal(t, 1, o.Changed)
	require.Less(t, o.Published.ByZone["north"].Local["north-0"], uint64(330_001))
	warmedUp := restarted
	warmedUp.Forecast = []Forecast{{At: 9 * time.Second, Demand: m.Forecast[0].Demand}}
	o, err = publisher.Update(9*time.Second, &warmedUp)
	require.NoError(t, err)
	require.Equal(t, 1, o.Changed)
	require.Equal(t, uint64(1_000_000), o.Published.ByZone["north"].Local["north-0"])
}

func TestPublisher_RecomputesAtOnceWhenHostLossBreaksLimit(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100, "south": 100}, hostsIn("north", 12, 1), hostsIn("south", 20, 1))
	publisher := newPublisher()
	_, err := publisher.Update(0, m)
	require.NoError(t, err)
	withoutHost := *m
	withoutHost.Hosts = m.Hosts[4:] // eight hosts remain, the demand is work for ten
	o, err := publisher.Update(time.Second, &withoutHost)
	require.NoError(t, err)
	require.True(t, o.Recomputed)
	require.Equal(t, uint64(200_000_000), o.Published.ByZone["north"].CrossZoneShare)
}

func TestPublisher_RecomputesOnlyAfterRecomputeDelayOutsideTolerance(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100, "south": 20}, hostsIn("north", 8, 1), hostsIn("south", 20, 1))
	publisher := newPublisher()
	_, err := publisher.Update(0, m)
	require.NoError(t, err)
	cross := publisher.Last().ByZone["north"].CrossZoneShare
	require.Equal(t, uint64(200_000_000), cross)
	more := *m // enough hosts; cross-zone traffic continues for RecomputeDelay to avoid flapping
	more.Hosts = append(append([]Host{}, m.Hosts...), Host{Name: "more", Zone: "north", Build: 1, Weight: 4, StartsAt: -week})
	versions := 0
	for s := 1; s <= 20; s++ {
		now := &more
		if s%2 == 0 && s < 8 {
			now = m
		}
		o, err := publisher.Update(time.Duration(s)*time.Second, now)
		require.NoError(t, err)
		if o.Published != nil {
			versions++
		}
		if s < 8 {
			require.Equal(t, cross, publisher.Last().ByZone["north"].CrossZoneShare, "second %d", s)
		}
	}
	require.Zero(t, publisher.Last().ByZone["north"].CrossZoneShare, "the fleet has had enough hosts for longer than RecomputeDelay")
	require.LessOrEqual(t, versions, 9, "one version for each addition or removal, one for the recomputation")
}

func TestPublisher_PublishesSameVersionsForSameModels(t *testing.T) {
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

func TestPublisher_ContinuesFromRestoredVersion(t *testing.T) {
	m := singleClassModel(map[string]float64{"north": 100}, hostsIn("north", 20, 1))
	a, b := newPublisher(), newPublisher()
	_, err := a.Update(0, m)
	require.NoError(t, err)
	b.Restore(a.Last())
	withoutHost := *m
	withoutHost.Hosts = m.Hosts[1:]
	x, err := a.Update(time.Second, &withoutHost)
	require.NoError(t, err)
	y, err := b.Update(time.Second, &withoutHost)
	require.NoError(t, err)
	require.Equal(t, x, y)
	require.Equal(t, uint64(2), y.Published.Version)
}
