// Package discovery follows the endpoint list of the operators' platform: a watch over HTTP whose response stays open and
// carries a JSON object for each change. It reports the same events as package eds does for xDS. A message that can't be
// read changes nothing and ends the watch; when to start it again is the caller's decision.
//
// The platform names endpoints by strings, the router by 32-bit ids. An id is a hash of the name and the build that runs
// there, so that all routers use the same one, and a name that returns with another build is another host.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"dapplefront/internal/eds"
	"dapplefront/internal/jsonstream"
)

// Times within which an idle watch has to be replaced. The platform counts what an idle watch misses as told after
// countsAsToldAfter: until then the silence has to be noticed, the backoff has to end and a new watch to respond.
const (
	countsAsToldAfter = 6 * time.Second // protocol page, "Figures"
	keepAliveInterval = 2 * time.Second // protocol page, "Discovery": an empty line at least this often
	idleTimeout       = keepAliveInterval * 3 / 2
	maxFirstBackoff   = 750 * time.Millisecond // of the policy, after a first failure
)

// WatchTimeouts are the times that a watch may be silent.
var WatchTimeouts = jsonstream.Timeouts{FirstValue: countsAsToldAfter - idleTimeout - maxFirstBackoff, Idle: idleTimeout}

// Watch follows one discovery service. It is safe for concurrent use.
type Watch struct {
	handler eds.Handler
	stream  *jsonstream.Stream

	mu       sync.Mutex
	revision int64 // of the last list applied
	hosts    hostTable
}

// Open prepares a watch that starts from a list known from earlier, and returns the hosts of that list. Ask starts it.
func Open(address string, known EndpointList, handler eds.Handler) (*Watch, []eds.Host) {
	w := &Watch{handler: handler, hosts: newHostTable()}
	w.stream = jsonstream.New(address, WatchTimeouts, jsonstream.Handler{Open: w.openWatch, Ended: func(err error) {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			handler.Rejected(err)
		}
		handler.Failed(err)
	}})
	return w, w.apply(known)
}

// Ask starts the watch. While one is open it does nothing.
func (w *Watch) Ask() { w.stream.Open() }

// SetAddress watches another address at once. The old watch is read until the new one has responded.
func (w *Watch) SetAddress(address string) { w.stream.SetAddress(address) }

// Address is the address watched.
func (w *Watch) Address() string { return w.stream.Address() }

// Attempted reports whether a first watch has responded or failed.
func (w *Watch) Attempted() bool { return w.stream.Attempted() }

// Close ends the watch for good and waits until the handler is called no more.
func (w *Watch) Close() { w.stream.Close() }

// HostID is the id that an endpoint's name stood for at a time; false for an unknown name.
func (w *Watch) HostID(name string, at time.Time) (uint32, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts.idAt(name, at)
}

// openWatch is the request for a watch from the last revision, and the handler of its messages.
func (w *Watch) openWatch() (path string, handle func(json.RawMessage) error) {
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
			w.handler.Updated(false, nil) // nothing new, but discovery can be reached
		} else {
			w.handler.Updated(l.Complete, w.apply(l))
		}
		return nil
	}
}

// isStale reports whether a list is older than what has been applied: two watches may send the same while one replaces
// the other, and a list may arrive late. The exception is a complete list that answers a watch with an earlier revision
// than the watch asked for: discovery has started to count anew.
func (w *Watch) isStale(l EndpointList, first bool, from int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		restarted := first && l.Revision < from
		return l.Revision < w.revision && !restarted
	}
	return l.Revision <= w.revision && w.revision > 0
}

// apply takes a list in and returns the hosts that it changes.
func (w *Watch) apply(l EndpointList) []eds.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = l.Revision
	return w.hosts.apply(l, time.Now())
}
