package downstream

import (
	"net/http"

	"dapplefront/internal/eventloop"
	"dapplefront/internal/http1"
	"dapplefront/policy"
)

const (
	maxReclaimed    = 8                     // maximum number of connections that MakeRoom closes
	partialEvictAge = policy.Second * 2 / 5 // age from which a partial request may be refused to make room
)

// MakeRoom closes connections because others wait to be accepted. It is called by the transport engine, outside the loop.
func (s *Server) MakeRoom() {
	s.loop.Post(func() {
		for closed := 0; closed < maxReclaimed && (s.reclaim() || s.evictOldest()); closed++ {
		}
	})
}

// evictOldest refuses the request that has been arriving for longest, because others wait for a connection. It reports whether
// there was one.
func (s *Server) evictOldest() bool {
	return s.evictPartial("others wait for a connection", func(c *clientConn) int64 { return -int64(c.partialSince()) })
}

// evictLargest refuses the arriving requests that hold most, until other large messages find room.
func (s *Server) evictLargest() {
	const why = "others need the memory that it holds"
	for s.budget.LargeExhausted() && s.evictPartial(why, func(c *clientConn) int64 { return int64(c.held()) }) {
	}
}

// evictPartial refuses the arriving request of the highest rank and closes its connection. It reports whether there was one.
// Requests that have been arriving for less than partialEvictAge stay: others arrive completely in far less time, unless
// their client is slow or has stopped.
func (s *Server) evictPartial(why string, rank func(*clientConn) int64) bool {
	startedBefore := s.loop.Now() - partialEvictAge
	var victim *clientConn
	var highest int64
	for c := range s.conns {
		if started := c.partialSince(); started == 0 || started > startedBefore {
			continue
		}
		if n := rank(c); victim == nil || n > highest {
			victim, highest = c, n
		}
	}
	if victim == nil {
		return false
	}
	victim.logClosed("the request arrives slowly and " + why)
	victim.refuse(&http1.Error{Status: http.StatusServiceUnavailable, Text: "the request arrives too slowly, and " + why})
	victim.close()
	return true
}

// reclaim closes a connection so that a new one can be admitted, and reports whether it closed one. It prefers connections
// that have had no request, and among those the one from which bytes arrived least recently. It does not close a connection
// with a request in flight or arriving, one whose response is not sent completely, or one that has been idle for less than
// Config.ReclaimIdleAfter. Any other lingering connection may be closed.
func (s *Server) reclaim() bool {
	if s.config.ReclaimIdleAfter <= 0 {
		return false
	}
	now, idleAfter := s.loop.Now(), eventloop.FromDuration(s.config.ReclaimIdleAfter)
	var victim *clientConn
	for c := range s.conns {
		lastRead := policy.Time(c.lastReadAt.Load())
		if c.state == connOpen && (len(c.pending) > 0 || c.requestStartedAt.Load() != 0 || now-lastRead < idleAfter) {
			continue
		}
		if unsent, _ := c.conn.Pending(); unsent > 0 {
			continue
		}
		if victim == nil || victim.hadRequest && !c.hadRequest ||
			victim.hadRequest == c.hadRequest && lastRead < policy.Time(victim.lastReadAt.Load()) {
			victim = c
		}
	}
	if victim == nil || victim.state == connOpen {
		return victim != nil && victim.closeIfIdle()
	}
	victim.close()
	return true
}
