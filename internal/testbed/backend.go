// Package testbed holds test doubles for everything that a router and an agent talk to: backends, endpoint discovery
// (xDS), the agents' side of a release controller, an artifact mirror, a certificate authority and clients. All of them
// use loopback sockets and can be given faults. Backends are net/http servers and clients are plain sockets, so that no
// observation depends on the router's own code.
package testbed

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dapplefront/internal/audit"
	"dapplefront/policy"
)

const (
	hangTimeout         = 20 * time.Second // a request that is never answered is aborted after this
	maxQueueDelay       = 3 * time.Second  // a request that would wait longer for a core is rejected
	defaultStartTimeout = time.Hour        // of a request without a timeout of its own
	degradedSlowdown    = 3                // times slower
	degradedFailureRate = 1.0 / 3
)

// Build is how a build treats the requests of its backends. The zero Build is healthy.
type Build struct {
	Number           int
	SpeedFactor      float64       // multiplies the machine's speed; 0 is 1
	FailureRate      float64       // share of all requests
	FailingClass     string        // the class that ClassFailureRate applies to
	ClassFailureRate float64       // share of the requests of FailingClass
	DegradesAfter    time.Duration // after its backend's start it is three times slower and fails a third; 0 for never
	WrongAnswerRate  float64       // share of responses with a wrong body
	FleetSlowdown    float64       // times slower that all backends become if this build gets all requests
}

// Class is a class of requests as backends know it.
type Class struct {
	Name        string
	Work        time.Duration // mean, at speed 1 on one core; a single request takes from half to one and a half of it
	Idempotency policy.Idempotency
	DedupWindow time.Duration // how long backends remember an idempotency key
}

// Machine is what a backend runs on.
type Machine struct {
	ID                 uint32
	Zone               string
	Cell               int
	Cores              int
	Speed              float64       // work done by a core a second, in seconds of Class.Work
	ColdCapacity       float64       // share of the full capacity right after the start
	WarmUp             time.Duration // from the start to the full capacity
	ColdOverloadFactor float64       // load, in capacities, that a backend in warm-up doesn't survive; 0 for any load
	ColdOverloadWindow time.Duration // over which that load is averaged
}

// Observer is notified of what a backend does; an *audit.Recorder is one. Its methods may be called concurrently.
type Observer interface {
	// AttemptArrived is called for an attempt that the kernel received at a time; work is in seconds.
	AttemptArrived(at time.Time, h *audit.Host, router, requestID, class string, work float64)
	AttemptRejected(h *audit.Host, requestID string)
	EffectApplied(h *audit.Host, requestID string)
}

// RequestCounter is called for each response of a backend, concurrently.
type RequestCounter func(build int, class string, latency time.Duration, failed bool)

// Environment is what the backends of a group share.
type Environment struct {
	Listen       string           // address to listen on; empty for any port of 127.0.0.1
	Observer     Observer         // nil for none
	Classes      map[string]Class // by name
	Keys         Deduplicator
	CountRequest RequestCounter // nil for none
	Slowdown     func() float64 // how many times slower all backends are now; nil for never
}

// Backend is one server process on a machine: it works on requests by sleeping, one per core at a time, in the order of
// their arrival.
type Backend struct {
	Machine
	Build     Build
	StartedAt time.Time // zero for long ago, which means without warm-up
	Audited   *audit.Host

	observer     Observer
	classes      map[string]Class
	keys         Deduplicator
	countRequest RequestCounter
	slowdown     func() float64
	server       *httpServer // nil for a RemoteBackend
	address      string
	createdAt    time.Time

	mu             sync.Mutex
	fault          Fault
	pausedUntil    time.Time
	coreFreeAt     []time.Time // by core
	coldOverloaded bool
	recentArrivals []arrival // during the warm-up
	loadReports    []loadReport
	active         int // requests in work
	served         int
	serviceTimeAvg time.Duration // moving average, without queueing
}

// StartBackend starts a backend on a machine. A cold one starts now and warms up; any other has full capacity.
func StartBackend(m Machine, b Build, cold bool, environment Environment) (*Backend, error) {
	backend := &Backend{
		Machine: m, Build: b, observer: environment.Observer, classes: environment.Classes, keys: environment.Keys,
		countRequest: environment.CountRequest, slowdown: environment.Slowdown, coreFreeAt: make([]time.Time, m.Cores),
		createdAt: time.Now(),
	}
	if cold {
		backend.StartedAt = backend.createdAt
	}
	if environment.Listen == "" {
		environment.Listen = anyLoopbackPort
	}
	listener, err := net.Listen("tcp", environment.Listen)
	if err != nil {
		return nil, fmt.Errorf("backend %d: %w", m.ID, err)
	}
	backend.address = listener.Addr().String()
	backend.Audited = &audit.Host{ID: m.ID, Build: b.Number, Zone: m.Zone, Cell: m.Cell, WarmUp: m.WarmUp}
	if recorder, ok := environment.Observer.(*audit.Recorder); ok && cold {
		backend.Audited.StartedAt = recorder.At(backend.StartedAt)
		backend.Audited.Capacity = func(at time.Duration) float64 {
			return backend.capacity(at - backend.Audited.StartedAt)
		}
	}
	backend.server = startHTTPServer(&refusingListener{Listener: listener, backend: backend}, backend)
	return backend, nil
}

// RemoteBackend describes a backend that runs in another process, for an endpoint list. It can't be stopped or given
// faults.
func RemoteBackend(address string, m Machine, build int) *Backend {
	return &Backend{Machine: m, Build: Build{Number: build}, address: address}
}

// Address is the host and port that it listens on.
func (b *Backend) Address() string { return b.address }

// Kill ends the process at once, with all its connections.
func (b *Backend) Kill() { b.server.stop() }

// Stop takes no new connections, waits until the requests in flight are answered, and kills the rest after the timeout.
func (b *Backend) Stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if b.server.Shutdown(ctx) != nil {
		b.Kill()
	}
	<-b.server.served
}

// receivedRequest is a request as a backend has read it.
type receivedRequest struct {
	id           string // of the attempt
	router       string
	class        Class
	work         float64       // seconds of one core at speed 1
	receivedAt   time.Time     // by the kernel
	arrivedAt    time.Time     // at this backend, which may be kept from running meanwhile
	startTimeout time.Duration // from its arrival until work on it must begin
	failsAlways  bool          // fails on every backend
	key          string        // idempotency key
}

func (b *Backend) newRequest(r *http.Request) receivedRequest {
	request := receivedRequest{
		receivedAt:  lastReceivedFor(r),
		arrivedAt:   time.Now(),
		id:          r.Header.Get(headerRequestID),
		router:      r.Header.Get(headerRouter),
		class:       b.classes[r.Header.Get(headerClass)],
		failsAlways: r.Header.Get(headerFailsAlways) == "1",
		key:         r.Header.Get(headerIdempotencyKey),
	}
	request.work = request.class.Work.Seconds() * (0.5 + draw("work", request.id))
	var err error
	if request.startTimeout, err = time.ParseDuration(r.Header.Get(headerStartTimeout)); err != nil {
		request.startTimeout = defaultStartTimeout
	}
	return request
}

// ServeHTTP answers one request. It panics with http.ErrAbortHandler to close the connection without a response.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := b.newRequest(r)
	if b.observer != nil {
		b.observer.AttemptArrived(request.receivedAt, b.Audited, request.router, request.id, request.class.Name, request.work)
	}
	_, _ = io.Copy(io.Discard, r.Body) // a router that is gone is seen when the response is written
	decision, workEndsAt := b.admit(request)
	switch decision {
	case abort:
		panic(http.ErrAbortHandler)
	case hang:
		select { // until it has been killed or the router has gone
		case <-r.Context().Done():
		case <-time.After(hangTimeout):
		}
		panic(http.ErrAbortHandler)
	case failAtOnce:
		b.respond(w, request, http.StatusInternalServerError, bodyFailed)
	case reject:
		if b.observer != nil {
			b.observer.AttemptRejected(b.Audited, request.id)
		}
		w.Header().Set(headerNotStarted, "1")
		b.respond(w, request, http.StatusServiceUnavailable, bodyRejected)
	case beginWork:
		time.Sleep(time.Until(workEndsAt))
		b.mu.Lock()
		b.active--
		b.served++
		b.mu.Unlock()
		b.complete(w, request)
	}
}

// admission is what a backend does with a request that has arrived.
type admission int

const (
	beginWork  admission = iota // work on it until the given time
	reject                      // answer that work on it has not begun: the queue is too long
	failAtOnce                  // answer with an error
	hang                        // never answer
	abort                       // close the connection
)

// admit decides about a request and, if it is to be worked on, reserves a core until workEndsAt.
func (b *Backend) admit(request receivedRequest) (decision admission, workEndsAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.fault.BlockedRouter != "" && b.fault.BlockedRouter == request.router {
		return abort, time.Time{}
	}
	if b.fault.Hangs || b.coldOverloaded || b.overloadsCold(now, request.work) {
		return hang, time.Time{}
	}
	if draw("fast", request.id, b.address) < b.fault.FailureRate {
		return failAtOnce, time.Time{}
	}
	serviceTime := b.serviceTime(now, request.work)
	core := 0
	for i := range b.coreFreeAt {
		if b.coreFreeAt[i].Before(b.coreFreeAt[core]) {
			core = i
		}
	}
	start := now
	for _, at := range []time.Time{b.coreFreeAt[core], b.pausedUntil} {
		if at.After(start) {
			start = at
		}
	}
	if start.Sub(now) > maxQueueDelay || start.Sub(request.arrivedAt) > request.startTimeout {
		return reject, time.Time{}
	}
	workEndsAt = start.Add(serviceTime)
	b.coreFreeAt[core] = workEndsAt
	b.active++
	b.serviceTimeAvg = (7*b.serviceTimeAvg + serviceTime) / 8
	return beginWork, workEndsAt
}

// serviceTime is how long one core works on a request; b.mu is held.
func (b *Backend) serviceTime(now time.Time, work float64) time.Duration {
	speed := b.Speed
	if b.Build.SpeedFactor > 0 {
		speed *= b.Build.SpeedFactor
	}
	if !b.StartedAt.IsZero() {
		speed *= b.capacity(now.Sub(b.StartedAt)) / (float64(b.Cores) * b.Speed)
	}
	if b.fault.Slowdown > 0 {
		speed /= b.fault.Slowdown
	}
	if b.degraded(now) {
		speed /= degradedSlowdown
	}
	if b.slowdown != nil {
		speed /= b.slowdown()
	}
	return time.Duration(work / speed * float64(time.Second))
}

// degraded tells whether the build has reached the age at which it turns slow and fails.
func (b *Backend) degraded(now time.Time) bool {
	return b.Build.DegradesAfter > 0 && now.Sub(b.createdAt) > b.Build.DegradesAfter
}

// complete answers a request whose work is done, after its effect if it succeeds.
func (b *Backend) complete(w http.ResponseWriter, request receivedRequest) {
	if b.buildFails(request) {
		b.respond(w, request, http.StatusInternalServerError, bodyFailed)
		return
	}
	if request.class.Idempotency != policy.IdempotentWithKey || b.keys.First(request.key, request.class.DedupWindow) {
		if b.observer != nil {
			b.observer.EffectApplied(b.Audited, request.id)
		}
	}
	if draw("wrong", request.id, strconv.Itoa(b.Build.Number)) < b.Build.WrongAnswerRate {
		b.respond(w, request, http.StatusOK, bodyWrong+" "+request.id)
		return
	}
	b.respond(w, request, http.StatusOK, bodyRight+" "+request.id)
}

// buildFails tells whether a request fails because of the build or of its own.
func (b *Backend) buildFails(request receivedRequest) bool {
	build := strconv.Itoa(b.Build.Number)
	return draw("bad", request.id, build) < b.Build.FailureRate ||
		b.Build.FailingClass == request.class.Name && draw("of", request.id, build) < b.Build.ClassFailureRate ||
		b.degraded(time.Now()) && draw("late", request.id) < degradedFailureRate ||
		request.failsAlways
}

// respond counts a request and writes its response. An error of writing shows the router what it shall see: a
// connection that ends.
func (b *Backend) respond(w http.ResponseWriter, request receivedRequest, status int, body string) {
	if b.countRequest != nil {
		b.countRequest(b.Build.Number, request.class.Name, time.Since(request.arrivedAt), status != http.StatusOK)
	}
	b.addLoadReport(w.Header())
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// draw is a number in [0, 1) that depends on the words alone, so that a scenario repeats whatever the order of requests.
func draw(words ...string) float64 {
	hash := fnv.New64a()
	for _, word := range words {
		_, _ = io.WriteString(hash, word)
	}
	return float64(rand.New(rand.NewPCG(hash.Sum64(), 1)).Uint64()>>11) / (1 << 53)
}
