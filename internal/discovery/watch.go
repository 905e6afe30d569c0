// Package discovery watches the endpoint list of the operators' platform through HTTP: the response stays open and carries a
// JSON object for each change. It reports the same events as package eds does for xDS. A message that can't be decoded
// changes nothing and ends the watch; the caller decides when to start it again.
//
// The platform identifies endpoints by strings, the router by 32-bit ids. An id is a hash of the name and of the build that
// the host runs. All routers therefore use the same id, and a name that returns with another build is another host.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"dapplefront/internal/endpoint"
	"dapplefront/internal/jsonstream"
	"dapplefront/policy"
)

// Times within which an idle watch must be replaced. After assumedReceivedAfter, the platform assumes that routers have
// received a change, even if an idle watch missed it. Within that time the router must detect that the watch is idle, the
// backoff must end and a new watch must respond. The same holds after a call that failed (policy.MaxPollBackoff).
const (
	assumedReceivedAfter = 6 * time.Second // protocol page, "Figures"
	keepAliveInterval    = 2 * time.Second // protocol page, "Discovery": an empty line at least this often
	idleTimeout          = keepAliveInterval * 3 / 2
	maxFirstBackoff      = time.Duration(policy.MaxWatchEndBackoff) * tick
	tick                 = time.Second / time.Duration(policy.Second) // unit of policy.Time
)

// WatchTimeouts are the maximum times for which a watch may receive nothing. A call that has no list after FirstValue counts
// as failed, but a list that it still receives is applied.
var WatchTimeouts = jsonstream.Timeouts{FirstValue: assumedReceivedAfter - idleTimeout - maxFirstBackoff, Idle: idleTimeout}

// Watch watches the endpoint list of one discovery service. It is safe for concurrent use.
type Watch struct {
	handler endpoint.Handler
	stream  *jsonstream.Stream

	mu       sync.Mutex
	revision int64 // of the last list applied
	hosts    hostTable
}

// Open prepares a watch that starts from a previously known list, and returns the hosts of that list. Subscribe starts the watch.
func Open(address string, known EndpointList, handler endpoint.Handler) (*Watch, []endpoint.Host) {
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

// Subscribe starts the watch. It does nothing while the watch is open.
func (w *Watch) Subscribe() { w.stream.Open() }

// SetAddress starts to watch another address immediately. The old watch is read until the new one has responded.
func (w *Watch) SetAddress(address string) { w.stream.SetAddress(address) }

// Pending reports whether changes of the list may have arrived that the handler has not handled.
func (w *Watch) Pending() bool { return w.stream.Pending() }

// Address returns the address that is watched.
func (w *Watch) Address() string { return w.stream.Address() }

// Attempted reports whether a first watch has responded or failed.
func (w *Watch) Attempted() bool { return w.stream.Attempted() }

// Close ends the watch permanently. After it returns, the handler is not called any more.
func (w *Watch) Close() { w.stream.Close() }

// HostID returns the id that an endpoint's name referred to at a time, and false if the name is unknown.
func (w *Watch) HostID(name string, at time.Time) (uint32, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts.idAt(name, at)
}

// openWatch returns the path of the request for a watch from the last revision, and the handler of its messages.
func (w *Watch) openWatch() (path string, handle func(json.RawMessage) error) {
	w.mu.Lock()
	from := w.revision
	w.mu.Unlock()
	first := true
	return "/v1/endpoints?watch=1&from=" + strconv.FormatInt(from, 10), func(text json.RawMessage) error {
		l, err := decodeList(text)
		if err != nil {
			err = fmt.Errorf("endpoint list can't be decoded: %w", err)
			w.handler.Rejected(err)
			return err
		}
		stale := w.isStale(l, first, from)
		if first = false; stale {
			w.handler.Updated(false, nil) // no changes, but discovery is reachable
		} else {
			w.handler.Updated(l.Complete, w.apply(l))
		}
		return nil
	}
}

// isStale reports whether a list is older than what has been applied: two watches may send the same list while one replaces
// the other, and a list may arrive late. The exception is the first list of a watch if it is complete and has an earlier
// revision than the watch asked for. It shows that discovery has restarted its count of revisions.
func (w *Watch) isStale(l EndpointList, first bool, from int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Complete {
		restarted := first && l.Revision < from
		return l.Revision < w.revision && !restarted
	}
	return l.Revision <= w.revision && w.revision > 0
}

// apply applies a list and returns its hosts, with replaced hosts as removed (see hostTable.apply).
func (w *Watch) apply(l EndpointList) []endpoint.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = l.Revision
	return w.hosts.apply(l, time.Now())
}
