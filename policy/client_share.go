package policy

// clientActive is how long a client counts as active after its last request.
const clientActive = Second

// clientShares counts the requests of each client that wait for their response, so that a client with many at once does not
// take the hosts from the others.
type clientShares struct {
	loads    map[uint64]*clientLoad // of the clients that are active or have a request in flight
	reviews  []clientReview         // one for each active client
	active   int                    // number of active clients
	inFlight int                    // requests of all clients that wait for their response
}

type clientLoad struct {
	inFlight    int // requests that wait for their response
	lastArrival Time
	active      bool
}

// clientReview is due clientActive after a client's request: the client is inactive by then, unless another has arrived.
type clientReview struct {
	client    uint64
	arrivedAt Time
}

// requestArrived records a request of a client.
func (s *clientShares) requestArrived(client uint64, now Time) {
	s.review(now)
	load := s.loads[client]
	if load == nil {
		load = &clientLoad{}
		s.loads[client] = load
	}
	if load.lastArrival = now; !load.active {
		load.active = true
		s.active++
		s.reviews = append(s.reviews, clientReview{client, now})
	}
}

// review marks clients as inactive whose last request is clientActive ago.
func (s *clientShares) review(now Time) {
	for len(s.reviews) > 0 && now-s.reviews[0].arrivedAt > clientActive {
		due := s.reviews[0]
		s.reviews = s.reviews[1:]
		load := s.loads[due.client]
		if load.lastArrival > due.arrivedAt {
			s.reviews = append(s.reviews, clientReview{due.client, load.lastArrival})
			continue
		}
		load.active = false
		s.active--
		s.forgetIfIdle(due.client, load)
	}
}

func (s *clientShares) forgetIfIdle(client uint64, load *clientLoad) {
	if !load.active && load.inFlight == 0 {
		delete(s.loads, client)
	}
}

// add counts n more requests of a client that wait for their response.
func (s *clientShares) add(client uint64, n int) {
	load := s.loads[client]
	load.inFlight += n
	s.inFlight += n
	s.forgetIfIdle(client, load)
}

// exceeds reports whether one more request would give a client more than its share of the requests in flight. Each client may
// have one request, and a client that is the only active one as many as it likes.
func (s *clientShares) exceeds(client uint64) bool {
	load := s.loads[client]
	return load != nil && s.active > 1 && load.inFlight >= max(1, s.inFlight/s.active)
}

// exceedsClientShare reports whether to reject a request because its client has more than its share of the requests in flight
// while hosts are busy.
func (r *Router) exceedsClientShare(request *Request) bool {
	const busySlowdown = 1 // more attempts are in flight than hosts execute at once
	return request.Client != 0 && r.clients.exceeds(request.Client) && r.leastExpectedSlowdown(request.Class) > busySlowdown
}

// startClientRequest counts a request that waits for its response.
func (r *Router) startClientRequest(request *Request) {
	if request.Client != 0 && request.state != finished {
		request.countsForClient = true
		r.clients.add(request.Client, 1)
	}
}

// endClientRequest ends the count of a request that has its response or whose client has stopped waiting.
func (r *Router) endClientRequest(request *Request) {
	if request.countsForClient {
		request.countsForClient = false
		r.clients.add(request.Client, -1)
	}
}
