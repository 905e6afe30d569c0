package jsonstream

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

type connection struct {
	address  string
	cancel   context.CancelCauseFunc
	idle     *time.Timer // fires when the connection has been silent for too long; set under Stream.mu
	gotValue atomic.Bool
	failed   bool // whether it was reported as failed and has delivered no value since; protected by Stream.mu
}

func (s *Stream) connectionEnded(c *connection, err error) {
	s.handling.Lock()
	defer s.handling.Unlock()
	s.mu.Lock()
	report := s.mayReport(c)
	s.connections = slices.DeleteFunc(s.connections, func(other *connection) bool { return other == c })
	s.mu.Unlock()
	if report {
		s.handler.Ended(err)
	}
	s.attempted.Store(true)
}

// mayReport reports whether the failure of a connection is reported. The end of a connection to an earlier address is not:
// SetAddress has opened the next one, which reports its own failure.
func (s *Stream) mayReport(c *connection) bool {
	newest := len(s.connections) > 0 && s.connections[len(s.connections)-1] == c
	return newest && !s.closed && !c.failed && c.address == s.address
}

// timedOut handles a connection that has been silent for too long. If it has not delivered its first value, it is only
// reported as failed at first, and ends after another lateValueTimeout.
func (s *Stream) timedOut(c *connection) {
	s.handling.Lock()
	defer s.handling.Unlock()
	s.mu.Lock()
	if s.closed || c.gotValue.Load() || c.failed {
		s.mu.Unlock()
		c.cancel(errIdle)
		return
	}
	s.wg.Add(1) // Close waits until the handler has returned
	defer s.wg.Done()
	report := s.mayReport(c)
	c.failed = true
	c.idle.Reset(lateValueTimeout)
	s.limitLateConnections()
	s.mu.Unlock()
	if report {
		s.handler.Ended(fmt.Errorf("%s: no value within %v: %w", c.address, s.timeouts.FirstValue, errIdle))
	}
	s.attempted.Store(true)
}

// limitLateConnections ends a connection that is late with its first value, if there are too many. It keeps the oldest ones,
// whose turn comes first, and the newest one, in case the others have been forgotten.
func (s *Stream) limitLateConnections() {
	var late []*connection
	for _, c := range s.connections {
		if c.failed {
			late = append(late, c)
		}
	}
	if len(late) <= maxLateConnections {
		return
	}
	surplus := late[len(late)-2]
	surplus.cancel(errReplaced)
	s.connections = slices.DeleteFunc(s.connections, func(c *connection) bool { return c == surplus })
}

// isReplaced reports whether another connection has replaced c, or a newer one has delivered a value.
func (s *Stream) isReplaced(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := slices.Index(s.connections, c)
	return at < 0 || slices.ContainsFunc(s.connections[at+1:], func(newer *connection) bool { return newer.gotValue.Load() })
}

// replaceOthers ends all connections that c replaces with its first value: the older ones, and the newer ones to the same
// address.
func (s *Stream) replaceOthers(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.failed = false
	at := slices.Index(s.connections, c)
	kept := s.connections[:0:0]
	for i, other := range s.connections {
		if i >= at && (i == at || other.address != c.address) {
			kept = append(kept, other)
		} else {
			other.cancel(errReplaced)
		}
	}
	s.connections = kept
}
