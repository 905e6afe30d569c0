package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func offerOf(version uint64, weights ...float64) Offer {
	o := Offer{Version: version, ValidFor: time.Minute, Build: 2, ShadowShare: .05}
	for i, w := range weights {
		o.LocalWeights = append(o.LocalWeights, HostWeight{uint32(i + 1), w})
	}
	return o
}

func TestFollower_RejectsVersionWithReason(t *testing.T) {
	fleet := Fleet{CanaryBuild: 2, ShadowCap: .05, SlowStart: 5 * time.Second, Hosts: map[uint32]KnownHost{1: {IsLocal: true, Weight: 1, Age: week},
		2: {IsLocal: true, Weight: 1, Age: week}, 3: {IsLocal: true, Weight: 1, Age: time.Second}, 4: {IsLocal: true, Weight: 1, Age: week, IsCanary: true}}}
	var f Follower
	require.NoError(t, f.Offer(offerOf(5, 1, 1, .3), fleet))
	for want, o := range map[string]Offer{
		"older than version 5":      offerOf(4, 1, 1),
		"in force already":          offerOf(5, 1, 1),
		"out of date":               func() Offer { o := offerOf(6, 1, 1); o.ValidFor = 0; return o }(),
		"would break the cap":       func() Offer { o := offerOf(6, 1, 1); o.ShadowShare = .06; return o }(),
		"runs a build on trial":     offerOf(6, 1, 1, .3, 1),
		"has just started":          offerOf(6, 1, 1, 1.1),
		"has the weight -1":         offerOf(6, -1, 1),
		"speaks of other hosts":     offerOf(6, 0, 0),
		"3 of 7 are known":          {Version: 6, ValidFor: 1, LocalWeights: []HostWeight{{1, 1}, {2, 1}, {3, 0}, {91, 1}, {92, 1}, {93, 1}, {94, 1}}},
		"shares from 0 to 1 expect": func() Offer { o := offerOf(6, 1, 1); o.CrossZoneShare = 1.5; return o }(),
	} {
		require.ErrorContains(t, f.Offer(o, fleet), want)
		require.Equal(t, uint64(5), f.Version(), "the last accepted version stays in force")
	}
	require.NoError(t, f.Offer(offerOf(7, 1, 1), fleet))
}
