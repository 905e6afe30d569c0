package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// hostsAt returns the hosts, the stage of the release and the canary build at a time. Stages are counted from 0; before the
// first stage and without a release, stage is 0 too. canary is 0 if no build is a canary.
func (m *Model) hostsAt(at time.Duration) (hosts []Host, stage, canary int) {
	r := m.Release
	if r == nil {
		return m.Hosts, 0, 0
	}
	stage = -1
	for n, s := range r.Stages {
		if s.At <= at {
			stage = n
		}
	}
	if stage < 0 {
		return m.Hosts, 0, 0
	}
	if r.ReleasedAt != 0 && at >= r.ReleasedAt {
		return m.hostsAfterRelease(), stage, 0
	}
	return m.hostsInStage(stage), stage, r.Build
}

// hostsAfterRelease returns the hosts after the end of the release: all run its build, and hosts of earlier builds have been
// replaced or removed.
func (m *Model) hostsAfterRelease() (hosts []Host) {
	r := m.Release
	last := m.hostsInStage(len(r.Stages) - 1)
	added := map[string]bool{}
	for _, h := range last[len(m.Hosts):] {
		added[h.Name] = true
	}
	for _, h := range last {
		switch {
		case h.Build == r.Build:
			hosts = append(hosts, h)
		case !added[sideBySideName(h.Name, r.Build)]:
			h.Build, h.StartsAt, h.DrainsAt = r.Build, r.ReleasedAt, 0
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// sideBySideName returns the name of the host that is added beside a host of the model.
func sideBySideName(name string, build int) string { return fmt.Sprintf("%s+%d", name, build) }

// hostsInStage returns the hosts in a stage of the release. The number of hosts that run the build follows from the stage's
// HostShare, and each of them starts in the first stage that includes it.
func (m *Model) hostsInStage(stage int) []Host {
	const rounding = 1e-9 // rounding error of a share times a number of hosts
	r := m.Release
	order := m.rolloutOrder()
	hosts := slices.Clone(m.Hosts)
	done := 0
	for n := 0; n <= stage; n++ {
		count := int(math.Ceil(r.Stages[n].HostShare*float64(len(order)) - rounding))
		for ; done < count; done++ {
			h := hosts[order[done]]
			h.Build, h.StartsAt, h.DrainsAt = r.Build, r.Stages[n].At, 0
			if r.SideBySide {
				h.Name = sideBySideName(h.Name, r.Build)
				hosts = append(hosts, h)
			} else {
				hosts[order[done]] = h
			}
		}
	}
	return hosts
}

// rolloutOrder returns the indices of the hosts in the order in which they get the build: one host of each zone in turn, by
// name within a zone.
func (m *Model) rolloutOrder() (order []int) {
	byZone := map[string][]int{}
	for i, h := range m.Hosts {
		byZone[h.Zone] = append(byZone[h.Zone], i)
	}
	zones := slices.Sorted(maps.Keys(byZone))
	for _, zone := range zones {
		slices.SortFunc(byZone[zone], func(a, b int) int { return cmp.Compare(m.Hosts[a].Name, m.Hosts[b].Name) })
	}
	for n := 0; len(order) < len(m.Hosts); n++ {
		for _, zone := range zones {
			if n < len(byZone[zone]) {
				order = append(order, byZone[zone][n])
			}
		}
	}
	return order
}
