package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHostsDuringAReleaseSideBySideAndInPlace(t *testing.T) {
	for _, beside := range []bool{false, true} {
		m := singleClassModel(nil, hostsIn("north", 4, 1), hostsIn("south", 4, 1))
		m.Release = &Release{Build: 2, Stages: []Stage{{time.Hour, .25, .05}, {2 * time.Hour, .5, .5}}, ReleasedAt: 3 * time.Hour, SideBySide: beside}
		count := func(at time.Duration) (old, now, trial int) {
			hosts, _, trial := m.hostsAt(at)
			for _, h := range hosts {
				if h.Build == 2 {
					now++
				} else {
					old++
				}
			}
			return old, now, trial
		}
		type at struct{ old, now, trial int }
		var got []at
		for h := range 4 {
			o, n, t := count(time.Duration(h) * time.Hour)
			got = append(got, at{o, n, t})
		}
		if beside {
			require.Equal(t, []at{{8, 0, 0}, {8, 2, 2}, {8, 4, 2}, {0, 8, 0}}, got)
		} else {
			require.Equal(t, []at{{8, 0, 0}, {6, 2, 2}, {4, 4, 2}, {0, 8, 0}}, got)
		}
		hosts, _, _ := m.hostsAt(time.Hour)
		places := map[string]int{}
		for _, h := range hosts {
			if h.Build == 2 {
				places[h.Zone]++
			}
		}
		require.Equal(t, map[string]int{"north": 1, "south": 1}, places, "locations by turns")
	}
}
