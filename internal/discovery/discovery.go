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

// List is the host list, or a change of it, as discovery tells it.
type List struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []Entry `json:"members"`
}

// Entry is one host of it.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	Build    int     `json:"revision_no"`
}

var phases = map[string]policy.EndpointState{"up": policy.Serving, "draining": policy.Draining, "removed": policy.Removed}

// Check tells what in a list can't be, and where.
func (l List) Check() error {
	if l.Revision < 0 {
		return fmt.Errorf("revision: %d can't be", l.Revision)
	}
	for i, e := range l.Members {
		at, err := netip.ParseAddrPort(e.HostPort)
		_, known := phases[e.Phase]
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
	hear   eds.Handler
	stream *jsonstream.Stream

	mu       sync.Mutex
	revision int64
	words    map[string]*word
	owners   map[uint32]string // words and builds by their numbers
	swept    time.Time         // when words that left were last forgotten
}

// word is a name that hosts bear one after the other.
type word struct {
	entry Entry
	here  bool
	left  time.Time // when it was last here, where it is not
	spans []span    // the last few, the newest last
}

// span is the time since which a word has meant a number.
type span struct {
	number uint32
	name   string // the word and its build
	since  time.Time
}

// What a watch that has fallen silent misses counts as told after a while, so that it has to be replaced by then: its
// silence noticed, the module's wait before it asks anew, and the answer to that.
const (
	told  = 6 * time.Second        // by the protocol
	alive = 2 * time.Second        // by the protocol, between two signs of life at most
	wait  = 750 * time.Millisecond // the module's, after a first failure, at most
)

// Within are a watch's times.
var Within = jsonstream.Timeouts{First: told - alive*3/2 - wait, Silence: alive * 3 / 2}

// Open prepares a watch that starts from a list known from earlier, and returns that list's hosts. Ask starts it.
func Open(address string, known List, hear eds.Handler) (*Watch, []eds.Host) {
	w := &Watch{hear: hear, words: map[string]*word{}, owners: map[uint32]string{}}
	w.stream = jsonstream.New(address, Within, jsonstream.Handler{Open: w.open, Ended: func(err error) {
		if noise := (*json.SyntaxError)(nil); errors.As(err, &noise) {
			hear.Rejected(err)
		}
		hear.Failed(err)
	}})
	return w, w.put(known)
}

// Ask starts the watch. While one stands it does nothing.
func (w *Watch) Ask() { w.stream.Open() }

// Move goes over to another address at once; the old one is heard until the new one speaks.
func (w *Watch) Move(address string) { w.stream.Move(address) }

// Address is the one that is asked.
func (w *Watch) Address() string { return w.stream.Address() }

// Tried tells whether discovery has been asked once, and has answered or failed to.
func (w *Watch) Tried() bool { return w.stream.Tried() }

// Close ends the watch for good.
func (w *Watch) Close() { w.stream.Close() }

// open is a watch's start: what it asks for, and what takes in what comes of it.
func (w *Watch) open() (path string, value func(json.RawMessage) error) {
	w.mu.Lock()
	from := w.revision
	w.mu.Unlock()
	first := true
	return "/v1/endpoints?watch=1&from=" + strconv.FormatInt(from, 10), func(text json.RawMessage) error {
		l, err := read(text)
		if err != nil {
			err = fmt.Errorf("the list can't be read: %w", err)
			w.hear.Rejected(err)
			return err
		}
		stale := w.stale(l, first, from)
		if first = false; stale {
			w.hear.Listed(false, nil) // it tells nothing new, but that discovery can be reached
		} else {
			w.hear.Listed(l.Complete, w.put(l))
		}
		return nil
	}
}

// read reads one object of a watch.
func read(text json.RawMessage) (List, error) {
	var l struct {
		Revision *int64 `json:"revision"`
		Complete *bool  `json:"complete"`
		List
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, err
	}
	if l.Revision == nil || l.Complete == nil || l.Members == nil {
		return List{}, errors.New("revision, complete or members is missing")
	}
	l.List.Revision, l.List.Complete = *l.Revision, *l.Complete
	return l.List, l.List.Check()
}

// stale tells that a list is older than what is held already, as when two watches tell the same while one takes over
// from the other, or one was made before and came late. Only a whole list that answers a call with an earlier version
// than was asked for is news: discovery counts anew.
func (w *Watch) stale(l List, first bool, from int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		return l.Revision < w.revision && !(first && l.Revision < from)
	}
	return l.Revision <= w.revision && w.revision > 0
}

// put takes a list in and returns the hosts it tells of; a word that means another host now also leaves the old one.
func (w *Watch) put(l List) []eds.Host {
	const kept = 4 // spans of a word: complaints come within seconds
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = l.Revision
	hosts := make([]eds.Host, 0, len(l.Members))
	now := time.Now()
	if l.Complete {
		named := make(map[string]bool, len(l.Members))
		for _, e := range l.Members {
			named[e.ID] = true
		}
		for id, x := range w.words {
			if x.here && !named[id] { // the router hears it from the list's being whole
				x.here, x.left = false, now
			}
		}
	}
	for _, e := range l.Members {
		x := w.words[e.ID]
		if x == nil {
			x = &word{}
			w.words[e.ID] = x
		}
		if e.Phase == "removed" && x.here { // whatever the line says of it beside
			e.Build = x.entry.Build
			if e.HostPort == "" {
				e.HostPort = x.entry.HostPort
			}
		}
		number, name := w.number(e)
		if n := len(x.spans); n == 0 || x.spans[n-1].number != number {
			if x.here && n > 0 {
				old := x.entry
				old.Phase = "removed"
				hosts = append(hosts, old.host(x.spans[n-1].number))
			}
			x.spans = append(x.spans[max(0, n-kept+1):n:n], span{number, name, now})
		}
		if x.entry, x.here = e, e.Phase != "removed"; !x.here {
			x.left = now
		}
		hosts = append(hosts, e.host(number))
	}
	w.sweep(now)
	return hosts
}

// sweep forgets words that left so long ago that nothing is asked about them any more.
func (w *Watch) sweep(now time.Time) {
	const after = time.Minute // complaints of sends come within some seconds of them, and these within a deadline
	if now.Sub(w.swept) < after {
		return
	}
	w.swept = now
	clear(w.owners)
	for id, x := range w.words {
		if !x.here && now.Sub(x.left) > after {
			delete(w.words, id)
			continue
		}
		for _, s := range x.spans {
			w.owners[s.number] = s.name
		}
	}
}

// number is the number of a word under a build, and their name.
func (w *Watch) number(e Entry) (n uint32, name string) {
	name = e.ID + " " + strconv.Itoa(e.Build)
	n = uint32(xxhash.Sum64String(name))
	for n == 0 || w.owners[n] != "" && w.owners[n] != name { // one in 2^32; routers may differ by it, and no rule does
		n++
	}
	w.owners[n] = name
	return n, name
}

// Number is the number that a word had at a time; false where it is not known.
func (w *Watch) Number(id string, at time.Time) (uint32, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.words[id]
	if x == nil || len(x.spans) == 0 {
		return 0, false
	}
	for i := len(x.spans) - 1; i > 0; i-- {
		if !x.spans[i].since.After(at) {
			return x.spans[i].number, true
		}
	}
	return x.spans[0].number, true
}

func (e Entry) host(number uint32) eds.Host {
	return eds.Host{Address: e.HostPort, Host: router.Host{ID: number, Zone: e.Locality, Cell: e.Cell,
		State: phases[e.Phase], Build: e.Build, Weight: e.Size, StartedAt: policy.Time(e.UpSince) * 10}}
}
