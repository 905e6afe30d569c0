package eds

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
)

// endpointList is the last accepted endpoint list.
type endpointList struct {
	resources map[string]resource      // by name
	hosts     map[uint32]endpoint.Host // of all resources, by id
}

func newEndpointList() *endpointList {
	return &endpointList{resources: map[string]resource{}, hosts: map[uint32]endpoint.Host{}}
}

// put applies changed and removed resources completely or, if it returns an error, not at all. It returns the hosts that
// changed, ordered by id. Hosts that are no longer listed are returned as removed.
func (l *endpointList) put(changed map[string]resource, removed []string) ([]endpoint.Host, error) {
	resources := make(map[string]resource, len(l.resources)+len(changed))
	maps.Copy(resources, l.resources)
	maps.Copy(resources, changed)
	for _, name := range removed {
		delete(resources, name)
	}
	hosts, err := mergeHosts(resources)
	if err != nil {
		return nil, err
	}
	changes := l.changesTo(hosts)
	l.resources, l.hosts = resources, hosts
	return changes, nil
}

// mergeHosts collects the hosts of all resources. An id or an address that appears twice is an error.
func mergeHosts(resources map[string]resource) (map[uint32]endpoint.Host, error) {
	hosts, ids := map[uint32]endpoint.Host{}, map[string]uint32{}
	for name, r := range resources {
		for _, h := range r.hosts {
			if other, ok := hosts[h.ID]; ok {
				return nil, fmt.Errorf("%s: host %d stands twice, at %s and at %s", name, h.ID, other.Address, h.Address)
			}
			if other, ok := ids[h.Address]; ok {
				return nil, fmt.Errorf("%s: %s is the address of two hosts, %d and %d", name, h.Address, other, h.ID)
			}
			hosts[h.ID], ids[h.Address] = h, h.ID
		}
	}
	return hosts, nil
}

// changesTo returns the hosts that are different in the new list, ordered by id. Hosts that it omits are returned as removed.
func (l *endpointList) changesTo(hosts map[uint32]endpoint.Host) []endpoint.Host {
	var changes []endpoint.Host
	for id, h := range hosts {
		if l.hosts[id] != h {
			changes = append(changes, h)
		}
	}
	for id, h := range l.hosts {
		if _, ok := hosts[id]; !ok && h.State != policy.Removed {
			h.State = policy.Removed
			changes = append(changes, h)
		}
	}
	sortByID(changes)
	return changes
}

// all returns the whole list, ordered by id.
func (l *endpointList) all() []endpoint.Host {
	hosts := make([]endpoint.Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		hosts = append(hosts, h)
	}
	sortByID(hosts)
	return hosts
}

func sortByID(hosts []endpoint.Host) {
	slices.SortFunc(hosts, func(a, b endpoint.Host) int { return cmp.Compare(a.ID, b.ID) })
}
