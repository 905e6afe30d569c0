package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHostsAt_AddsOrReplacesHostsDuringRelease(t *testing.T) {
	for _, sideBySide := range []bool{false, true} {
		m := singleClassModel(nil, hostsIn("north", 4, 1), hostsIn("south", 4, 1))
		m.Release = &Release{Build: 2, Stages: []Stage{{time.Hour, .25, .05}, {2 * time.Hour, .5, .5}}, ReleasedAt: 3 * time.Hour, SideBySide: sideBySide}
		count := func(at time.Duration) (old, now, canary int) {
			hosts, _, canary := m.hostsAt(at)
			for _, h := range hosts {
				if h.Build == 2 {
					now++
				} else {
					old++
				}
			}
			return old, now, canary
		}
		type at struct{ old, now, canary int }
		var got []at
		for h := range 4 {
			o, n, t := count(time.Duration(h) * time.Hour)
			got = append(got, at{o, n, t})
		}
		if sideBySide {
			require.Equal(t, []at{{8, 0, 0}, {8, 2, 2}, {8, 4, 2}, {0, 8, 0}}, got)
		} else {
			require.Equal(t, []at{{8, 0, 0}, {6, 2, 2}, {4, 4, 2}, {0, 8, 0}}, got)
		}
		hosts, _, _ := m.hostsAt(time.Hour)
		zones := map[string]int{}
		for _, h := range hosts {
			if h.Build == 2 {
				zones[h.Zone]++
			}
		}
		require.Equal(t, map[string]int{"north": 1, "south": 1}, zones, "one host of each zone in turn")
	}
}
