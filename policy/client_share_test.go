package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// sendAs passes the router a request of a client.
func (f *fakeFleet) sendAs(client uint64) *Request {
	request := &Request{Class: f.quote, Timeout: 3 * Second, Client: client}
	f.router.RequestArrived(f.now, request)
	return request
}

// serveInTurn ends the oldest attempt in flight, as a host would that executes one request at a time.
func (f *fakeFleet) serveInTurn(served *int) {
	if *served < len(f.attempts) {
		attempt := f.attempts[*served]
		f.end(attempt, Succeeded, f.now-attempt.sentAt)
		*served++
	}
}

// Guards against one connection that takes all hosts: a client with 14 requests at once beside 20 clients with one each.
func TestClientShare_RejectsManyAtOnceBeforeRequestsOfOthers(t *testing.T) {
	for name, flooder := range map[string]uint64{"connections are known": 99, "connections are not known": 0} {
		t.Run(name, func(t *testing.T) {
			f, endpoints := newFakeFleet(t, func(config *Config) { config.Limits.AllowHedging = false })
			for i := range endpoints { // one host
				if i > 0 {
					endpoints[i].State = Removed
				}
			}
			f.router.EndpointsChanged(f.now, endpoints, true)
			f.serve(60, f.quote, succeeds)
			served := len(f.attempts)
			var flood []*Request
			var usual, rejected, longest int
			for step := range 1000 {
				for open := 0; open < 14; open++ { // the flooder has 14 requests at once
					if open >= len(flood) {
						flood = append(flood, f.sendAs(flooder))
					} else if flood[open].Answered() {
						flood[open] = f.sendAs(flooder)
					}
				}
				if step%2 == 0 {
					before, waiting := len(f.rejected), len(f.attempts)-served
					f.sendAs(uint64(1 + step/2%20))
					usual++
					if step > 20 { // by then the attempts have ended that the flooder sent while it was the only client
						longest = max(longest, waiting)
					}
					rejected += len(f.rejected) - before
				}
				f.advance(Second / 20)
				f.serveInTurn(&served)
			}
			t.Logf("%d of %d usual requests rejected, at most %d attempts before one", rejected, usual, longest)
			if flooder == 0 {
				return // as without shares
			}
			require.Zero(t, rejected)
			require.Less(t, longest, 6)
			require.LessOrEqual(t, len(f.router.clients.loads), 21)
			require.LessOrEqual(t, cap(f.router.clients.reviews), 100)
		})
	}
}

func TestClientShare_LetsOnlyActiveClientUseAllHosts(t *testing.T) {
	f, _ := newFakeFleet(t, nil)
	f.serve(60, f.quote, succeeds)
	sent := len(f.attempts)
	for range 12 {
		f.sendAs(1)
	}
	require.Len(t, f.attempts, sent+12)
}

// Guards against memory that grows with the connections of clients.
func TestClientShares_ForgetInactiveClients(t *testing.T) {
	s := clientShares{loads: map[uint64]*clientLoad{}}
	now := Time(0)
	for n := range uint64(10_000) {
		now += clientActive / 100
		s.requestArrived(n, now)
		s.add(n, 1)
		require.LessOrEqual(t, len(s.loads), 102)
		if n%2 == 0 {
			s.add(n, -1)
		} else {
			s.requestArrived(n, now)
			s.add(n, -1)
		}
	}
	s.review(now + 2*clientActive)
	require.Empty(t, s.loads)
	require.Empty(t, s.reviews)
	require.Zero(t, s.active)
	require.Zero(t, s.inFlight)
}
