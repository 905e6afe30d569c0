package discovery

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dapplefront/internal/endpoint"
)

const (
	// maxIncarnations is the number of incarnations of a name that are retained. A few are enough, because complaints arrive
	// within seconds of the attempt.
	maxIncarnations = 4

	// forgetAfter is the time after which a removed name is deleted. Complaints arrive within seconds of an attempt, and
	// attempts are made within a request's deadline after the removal.
	forgetAfter = time.Minute
)

// hostTable maps the names of endpoints to host ids, now and at earlier times.
type hostTable struct {
	names     map[string]*endpointName
	idOwners  map[uint32]string // the owner of each id in use
	lastSweep time.Time         // when removed names were last deleted
}

// endpointName is a name that several hosts may have, one after the other.
type endpointName struct {
	last         Endpoint
	listed       bool
	removedAt    time.Time     // when it was removed, if it is not listed
	incarnations []incarnation // at most the last maxIncarnations, the newest last
}

// incarnation is a host to which a name refers, from a point in time until the name's next incarnation.
type incarnation struct {
	id    uint32
	owner string // the name of the endpoint and the build
	since time.Time
}

func newHostTable() hostTable {
	return hostTable{names: map[string]*endpointName{}, idOwners: map[uint32]string{}}
}

// apply applies a list and returns its hosts. If a host replaces another one, the replaced host is returned before it, as
// removed. Hosts that a complete list omits are not returned, because the router detects them from the complete list.
func (t *hostTable) apply(l EndpointList, now time.Time) []endpoint.Host {
	if l.Complete {
		t.removeMissing(l, now)
	}
	hosts := make([]endpoint.Host, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		hosts = t.applyEndpoint(hosts, e, now)
	}
	t.forgetRemoved(now)
	return hosts
}

// removeMissing marks the names that a complete list omits as removed.
func (t *hostTable) removeMissing(l EndpointList, now time.Time) {
	listed := make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		listed[e.ID] = true
	}
	for id, n := range t.names {
		if n.listed && !listed[id] {
			n.listed, n.removedAt = false, now
		}
	}
}

// applyEndpoint appends the host that an entry describes. If it replaces a host, that host is appended before it as removed.
func (t *hostTable) applyEndpoint(hosts []endpoint.Host, e Endpoint, now time.Time) []endpoint.Host {
	n := t.names[e.ID]
	if n == nil {
		n = &endpointName{}
		t.names[e.ID] = n
	}
	if e.Phase == phaseRemoved && n.listed { // the listed host is removed, even if the entry has another build
		e.Build = n.last.Build
		if e.Address == "" {
			e.Address = n.last.Address
		}
	}
	id, owner := t.assignID(e)
	if count := len(n.incarnations); count == 0 || n.incarnations[count-1].id != id {
		if n.listed && count > 0 {
			replaced := n.last
			replaced.Phase = phaseRemoved
			hosts = append(hosts, replaced.host(n.incarnations[count-1].id))
		}
		n.incarnations = append(n.incarnations[max(0, count-maxIncarnations+1):count:count], incarnation{id, owner, now})
	}
	if n.last, n.listed = e, e.Phase != phaseRemoved; !n.listed {
		n.removedAt = now
	}
	return append(hosts, e.host(id))
}

// forgetRemoved deletes names that were removed so long ago that no complaint refers to them. It checks for such names once
// in each forgetAfter.
func (t *hostTable) forgetRemoved(now time.Time) {
	if now.Sub(t.lastSweep) < forgetAfter {
		return
	}
	t.lastSweep = now
	clear(t.idOwners)
	for name, n := range t.names {
		if !n.listed && now.Sub(n.removedAt) > forgetAfter {
			delete(t.names, name)
			continue
		}
		for _, i := range n.incarnations {
			t.idOwners[i.id] = i.owner
		}
	}
}

// assignID returns the id of a name with a build, and the owner of the id. If two owners have the same hash, which has a
// probability of 1 in 2^32, the later one gets the next free id. Routers may then use different ids; no rule depends on that.
func (t *hostTable) assignID(e Endpoint) (id uint32, owner string) {
	owner = e.ID + " " + strconv.Itoa(e.Build)
	id = uint32(xxhash.Sum64String(owner))
	for id == 0 || t.idOwners[id] != "" && t.idOwners[id] != owner {
		id++
	}
	t.idOwners[id] = owner
	return id, owner
}

// idAt returns the id that a name referred to at a time. For a time before the oldest retained incarnation it returns the id
// of that incarnation.
func (t *hostTable) idAt(name string, at time.Time) (uint32, bool) {
	n := t.names[name]
	if n == nil || len(n.incarnations) == 0 {
		return 0, false
	}
	for i := len(n.incarnations) - 1; i > 0; i-- {
		if !n.incarnations[i].since.After(at) {
			return n.incarnations[i].id, true
		}
	}
	return n.incarnations[0].id, true
}
