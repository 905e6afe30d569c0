// Package discovery follows the platform's host list: JSON over HTTP, an object for each change. It tells the same as
// internal/register does. One that can't be read changes nothing and ends the watch; when to ask again is the module's
// decision.
//
// Hosts are named by words there, and by numbers here. A number is made of the word and the build that it runs, so that
// all routers have the same one, and a word that comes back under another build is another host.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dapplefront/internal/eds"
	"dapplefront/internal/jsonstream"
	"dapplefront/policy"
	"dapplefront/router"
)

// EndpointList is the host list, or a change of it, as discovery tells it.
type EndpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Endpoint is one host of it.
type Endpoint struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	Build    int     `json:"revision_no"`
}

var endpointStates = map[string]policy.EndpointState{"up": policy.Serving, "draining": policy.Draining, "removed": policy.Removed}

// Check tells what in a list can't be, and where.
func (l EndpointList) Check() error {
	if l.Revision < 0 {
		return fmt.Errorf("revision: %d can't be", l.Revision)
	}
	for i, e := range l.Endpoints {
		at, err := netip.ParseAddrPort(e.HostPort)
		_, known := endpointStates[e.Phase]
		switch {
		case e.ID == "":
			return fmt.Errorf("members[%d].id is missing", i)
		case err != nil && e.Phase != "removed" || err == nil && at.Port() == 0:
			return fmt.Errorf("members[%d].host_port: a numeric address and a port expected, not %q", i, e.HostPort)
		case !known:
			return fmt.Errorf("members[%d].phase: up, draining or removed expected, not %q", i, e.Phase)
		case e.Build < 0 || e.Cell < 0 || e.UpSince < 0 || e.Size < 0 || math.IsInf(e.Size, 0):
			return fmt.Errorf("members[%d]: a figure is below 0", i)
		}
	}
	return nil
}

// Watch follows one discovery service. Its methods may be called from anywhere.
type Watch struct {
	handler eds.Handler
	stream  *jsonstream.Stream

	mu        sync.Mutex
	revision  int64
	names     map[string]*endpointName
	idOwners  map[uint32]string // words and builds by their numbers
	lastSweep time.Time         // when words that left were last forgotten
}

// endpointName is a name that hosts bear one after the other.
type endpointName struct {
	last         Endpoint
	listed       bool
	removedAt    time.Time     // when it was last here, where it is not
	incarnations []incarnation // the last few, the newest last
}

// incarnation is the time since which a word has meant a number.
type incarnation struct {
	id    uint32
	owner string // the word and its build
	since time.Time
}

// What a watch that has fallen silent misses counts as told after a while, so that it has to be replaced by then: its
// silence noticed, the module's wait before it asks anew, and the answer to that.
const (
	countsAsToldAfter = 6 * time.Second        // by the protocol
	keepAliveInterval = 2 * time.Second        // by the protocol, between two signs of life at most
	maxFirstBackoff   = 750 * time.Millisecond // the module's, after a first failure, at most
)

// WatchTimeouts are a watch's times.
var WatchTimeouts = jsonstream.Timeouts{FirstValue: countsAsToldAfter - keepAliveInterval*3/2 - maxFirstBackoff, Idle: keepAliveInterval * 3 / 2}

// Open prepares a watch that starts from a list known from earlier, and returns that list's hosts. Ask starts it.
func Open(address string, known EndpointList, hear eds.Handler) (*Watch, []eds.Host) {
	w := &Watch{handler: hear, names: map[string]*endpointName{}, idOwners: map[uint32]string{}}
	w.stream = jsonstream.New(address, WatchTimeouts, jsonstream.Handler{Open: w.openWatch, Ended: func(err error) {
		if noise := (*json.SyntaxError)(nil); errors.As(err, &noise) {
			hear.Rejected(err)
		}
		hear.Failed(err)
	}})
	return w, w.apply(known)
}

// Ask starts the watch. While one stands it does nothing.
func (w *Watch) Ask() { w.stream.Open() }

// SetAddress goes over to another address at once; the old one is heard until the new one speaks.
func (w *Watch) SetAddress(address string) { w.stream.SetAddress(address) }

// Address is the one that is asked.
func (w *Watch) Address() string { return w.stream.Address() }

// Attempted tells whether discovery has been asked once, and has answered or failed to.
func (w *Watch) Attempted() bool { return w.stream.Attempted() }

// Close ends the watch for good.
func (w *Watch) Close() { w.stream.Close() }

// openWatch is a watch's start: what it asks for, and what takes in what comes of it.
func (w *Watch) openWatch() (path string, value func(json.RawMessage) error) {
	w.mu.Lock()
	from := w.revision
	w.mu.Unlock()
	first := true
	return "/v1/endpoints?watch=1&from=" + strconv.FormatInt(from, 10), func(text json.RawMessage) error {
		l, err := decodeList(text)
		if err != nil {
			err = fmt.Errorf("the list can't be read: %w", err)
			w.handler.Rejected(err)
			return err
		}
		stale := w.isStale(l, first, from)
		if first = false; stale {
			w.handler.Listed(false, nil) // it tells nothing new, but that discovery can be reached
		} else {
			w.handler.Listed(l.Complete, w.apply(l))
		}
		return nil
	}
}

// decodeList reads one object of a watch.
func decodeList(text json.RawMessage) (EndpointList, error) {
	var l struct {
		Revision *int64 `json:"revision"`
		Complete *bool  `json:"complete"`
		EndpointList
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return EndpointList{}, err
	}
	if l.Revision == nil || l.Complete == nil || l.Endpoints == nil {
		return EndpointList{}, errors.New("revision, complete or members is missing")
	}
	l.EndpointList.Revision, l.EndpointList.Complete = *l.Revision, *l.Complete
	return l.EndpointList, l.EndpointList.Check()
}

// isStale tells that a list is older than what is held already, as when two watches tell the same while one takes over
// from the other, or one was made before and came late. Only a whole list that answers a call with an earlier version
// than was asked for is news: discovery counts anew.
func (w *Watch) isStale(l EndpointList, first bool, from int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		return l.Revision < w.revision && !(first && l.Revision < from)
	}
	return l.Revision <= w.revision && w.revision > 0
}

// apply takes a list in and returns the hosts it tells of; a word that means another host now also leaves the old one.
func (w *Watch) apply(l EndpointList) []eds.Host {
	const kept = 4 // spans of a word: complaints come within seconds
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = l.Revision
	hosts := make([]eds.Host, 0, len(l.Endpoints))
	now := time.Now()
	if l.Complete {
		named := make(map[string]bool, len(l.Endpoints))
		for _, e := range l.Endpoints {
			named[e.ID] = true
		}
		for id, x := range w.names {
			if x.listed && !named[id] { // the router hears it from the list's being whole
				x.listed, x.removedAt = false, now
			}
		}
	}
	for _, e := range l.Endpoints {
		x := w.names[e.ID]
		if x == nil {
			x = &endpointName{}
			w.names[e.ID] = x
		}
		if e.Phase == "removed" && x.listed { // whatever the line says of it beside
			e.Build = x.last.Build
			if e.HostPort == "" {
				e.HostPort = x.last.HostPort
			}
		}
		number, name := w.assignID(e)
		if n := len(x.incarnations); n == 0 || x.incarnations[n-1].id != number {
			if x.listed && n > 0 {
				old := x.last
				old.Phase = "removed"
				hosts = append(hosts, old.host(x.incarnations[n-1].id))
			}
			x.incarnations = append(x.incarnations[max(0, n-kept+1):n:n], incarnation{number, name, now})
		}
		if x.last, x.listed = e, e.Phase != "removed"; !x.listed {
			x.removedAt = now
		}
		hosts = append(hosts, e.host(number))
	}
	w.forgetRemoved(now)
	return hosts
}

// forgetRemoved forgets words that left so long ago that nothing is asked about them any more.
func (w *Watch) forgetRemoved(now time.Time) {
	const after = time.Minute // complaints of sends come within some seconds of them, and these within a deadline
	if now.Sub(w.lastSweep) < after {
		return
	}
	w.lastSweep = now
	clear(w.idOwners)
	for id, x := range w.names {
		if !x.listed && now.Sub(x.removedAt) > after {
			delete(w.names, id)
			continue
		}
		for _, s := range x.incarnations {
			w.idOwners[s.id] = s.owner
		}
	}
}

// assignID is the number of a word under a build, and their name.
func (w *Watch) assignID(e Endpoint) (n uint32, name string) {
	name = e.ID + " " + strconv.Itoa(e.Build)
	n = uint32(xxhash.Sum64String(name))
	for n == 0 || w.idOwners[n] != "" && w.idOwners[n] != name { // one in 2^32; routers may differ by it, and no rule does
		n++
	}
	w.idOwners[n] = name
	return n, name
}

// HostID is the number that a word had at a time; false where it is not known.
func (w *Watch) HostID(id string, at time.Time) (uint32, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.names[id]
	if x == nil || len(x.incarnations) == 0 {
		return 0, false
	}
	for i := len(x.incarnations) - 1; i > 0; i-- {
		if !x.incarnations[i].since.After(at) {
			return x.incarnations[i].id, true
		}
	}
	return x.incarnations[0].id, true
}

func (e Endpoint) host(number uint32) eds.Host {
	return eds.Host{Address: e.HostPort, Host: router.Host{ID: number, Zone: e.Locality, Cell: e.Cell,
		State: endpointStates[e.Phase], Build: e.Build, Weight: e.Size, StartedAt: policy.Time(e.UpSince) * 10}}
}
