// Package testbed provides test doubles for everything that a router or an agent communicates with: backends, endpoint
// discovery (xDS), the part of a release controller that serves agents, an artifact mirror, a certificate authority and
// clients. They use loopback sockets, and faults can be injected into them. Backends are net/http servers and clients are
// plain sockets, so that no observation depends on the router's own code.
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
	hangTimeout         = 20 * time.Second // a request without a response is aborted after this time
	maxQueueDelay       = 3 * time.Second  // a request that would wait longer for a core is rejected
	defaultStartTimeout = time.Hour        // for a request without a start timeout header
	degradedSlowdown    = 3                // divides the speed of a degraded backend
	degradedFailureRate = 1.0 / 3          // share of the requests of a degraded backend that fail
)

// Build describes how the backends of a build handle requests. The zero Build is healthy.
type Build struct {
	Number           int
	SpeedFactor      float64       // multiplies the machine's speed; 0 means 1
	FailureRate      float64       // share of all requests that fail
	FailingClass     string        // the class that ClassFailureRate applies to
	ClassFailureRate float64       // share of the requests of FailingClass that fail
	DegradesAfter    time.Duration // age at which a backend degrades (degradedSlowdown, degradedFailureRate); 0 means never
	WrongAnswerRate  float64       // share of responses with a wrong body
	FleetSlowdown    float64       // if more than 0, the traffic to this build slows all backends (Environment.Slowdown)
}

// Class is a class of requests as backends see it.
type Class struct {
	Name        string
	Work        time.Duration // mean, at speed 1 on one core; a single request takes 0.5 to 1.5 times as long
	Idempotency policy.Idempotency
	DedupWindow time.Duration // how long backends recognize an idempotency key
}

// Machine describes the machine that a backend runs on.
type Machine struct {
	ID                 uint32
	Zone               string
	Cell               int
	Cores              int
	Speed              float64       // seconds of Class.Work that one core does per second
	ColdCapacity       float64       // share of the full capacity right after the start
	WarmUp             time.Duration // time from the start to full capacity
	ColdOverloadFactor float64       // load, as a multiple of its capacity, above which a backend in warm-up breaks down; 0 means never
	ColdOverloadWindow time.Duration // window over which the load is averaged
}

// Observer is notified of what a backend does; an *audit.Recorder is one. Its methods may be called concurrently.
type Observer interface {
	// AttemptArrived is called for an attempt that the kernel received at the given time; work is in seconds.
	AttemptArrived(at time.Time, h *audit.Host, router, requestID, class string, work float64)
	AttemptRejected(h *audit.Host, requestID string)
	EffectApplied(h *audit.Host, requestID string)
}

// RequestCounter is called for each response of a backend, concurrently.
type RequestCounter func(build int, class string, latency time.Duration, failed bool)

// Environment holds what the backends of a group share.
type Environment struct {
	Listen       string           // address to listen on; empty means any free port of 127.0.0.1
	Observer     Observer         // nil for none
	Classes      map[string]Class // by name
	Keys         Deduplicator
	CountRequest RequestCounter // nil for none
	Slowdown     func() float64 // returns the current factor by which all backends are slower; nil means a factor of 1
}

// Backend is one server process on a machine. It simulates work on a request by sleeping. Each core handles one request at
// a time, in the order of arrival.
type Backend struct {
	Machine
	Build     Build
	StartedAt time.Time // zero for a backend that is already warm
	AuditHost *audit.Host

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
	coreFreeAt     []time.Time // by core: when the work assigned to the core ends
	coldOverloaded bool
	recentArrivals []arrival // during the warm-up
	loadReports    []loadReport
	active         int           // requests that are being worked on
	served         int           // requests whose work is complete
	serviceTimeAvg time.Duration // moving average, without queueing time
}

// StartBackend starts a backend on a machine. If cold is set, the backend warms up from now on; otherwise it has full
// capacity immediately.
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
	backend.AuditHost = &audit.Host{ID: m.ID, Build: b.Number, Zone: m.Zone, Cell: m.Cell, WarmUp: m.WarmUp}
	if recorder, ok := environment.Observer.(*audit.Recorder); ok && cold {
		backend.AuditHost.StartedAt = recorder.At(backend.StartedAt)
		backend.AuditHost.Capacity = func(at time.Duration) float64 {
			return backend.capacity(at - backend.AuditHost.StartedAt)
		}
	}
	backend.server = startHTTPServer(&refusingListener{Listener: listener, backend: backend}, backend)
	return backend, nil
}

// RemoteBackend describes a backend that runs in another process, for an endpoint list. It can't be stopped, and no faults
// can be injected into it.
func RemoteBackend(address string, m Machine, build int) *Backend {
	return &Backend{Machine: m, Build: Build{Number: build}, address: address}
}

// Address returns the host and port that the backend listens on.
func (b *Backend) Address() string { return b.address }

// Kill closes the listener and all connections immediately.
func (b *Backend) Kill() { b.server.stop() }

// Stop closes the listener and waits until the requests in flight are complete. After the timeout it closes the remaining
// connections.
func (b *Backend) Stop(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if b.server.Shutdown(ctx) != nil {
		b.Kill()
	}
	<-b.server.served
}

// receivedRequest is a request that a backend has received.
type receivedRequest struct {
	id           string // of the attempt
	router       string
	class        Class
	work         float64       // seconds on one core at speed 1
	receivedAt   time.Time     // when the kernel received it
	arrivedAt    time.Time     // when the backend read it, which may be later if this process was not scheduled
	startTimeout time.Duration // longest time from its arrival to the start of work
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

// ServeHTTP handles one request. It panics with http.ErrAbortHandler to close the connection without a response.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := b.newRequest(r)
	if b.observer != nil {
		b.observer.AttemptArrived(request.receivedAt, b.AuditHost, request.router, request.id, request.class.Name, request.work)
	}
	_, _ = io.Copy(io.Discard, r.Body) // if the router has disconnected, writing the response fails
	decision, workEndsAt := b.admit(request)
	switch decision {
	case abort:
		panic(http.ErrAbortHandler)
	case hang:
		select { // until the backend is killed or the router disconnects
		case <-r.Context().Done():
		case <-time.After(hangTimeout):
		}
		panic(http.ErrAbortHandler)
	case failImmediately:
		b.respond(w, request, http.StatusInternalServerError, bodyFailed)
	case reject:
		if b.observer != nil {
			b.observer.AttemptRejected(b.AuditHost, request.id)
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

// admission is a backend's decision on a request that has arrived.
type admission int

const (
	beginWork       admission = iota // work on the request until the given time
	reject                           // respond that work has not started, because the queue is too long
	failImmediately                  // respond with an error
	hang                             // never respond
	abort                            // close the connection
)

// admit decides how to handle a request. For beginWork it reserves a core until workEndsAt.
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
		return failImmediately, time.Time{}
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

// serviceTime returns how long one core works on a request. The caller holds b.mu.
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

// degraded reports whether the backend has reached the age at which it becomes slow and fails requests.
func (b *Backend) degraded(now time.Time) bool {
	return b.Build.DegradesAfter > 0 && now.Sub(b.createdAt) > b.Build.DegradesAfter
}

// complete responds to a request whose work is done. If the request succeeds, its effect is applied before the response,
// unless its idempotency key was seen before.
func (b *Backend) complete(w http.ResponseWriter, request receivedRequest) {
	if b.buildFails(request) {
		b.respond(w, request, http.StatusInternalServerError, bodyFailed)
		return
	}
	if request.class.Idempotency != policy.IdempotentWithKey || b.keys.AddIfNew(request.key, request.class.DedupWindow) {
		if b.observer != nil {
			b.observer.EffectApplied(b.AuditHost, request.id)
		}
	}
	if draw("wrong", request.id, strconv.Itoa(b.Build.Number)) < b.Build.WrongAnswerRate {
		b.respond(w, request, http.StatusOK, bodyWrong+" "+request.id)
		return
	}
	b.respond(w, request, http.StatusOK, bodyRight+" "+request.id)
}

// buildFails reports whether a request fails because of the build, or because it fails on every backend.
func (b *Backend) buildFails(request receivedRequest) bool {
	build := strconv.Itoa(b.Build.Number)
	return draw("bad", request.id, build) < b.Build.FailureRate ||
		b.Build.FailingClass == request.class.Name && draw("of", request.id, build) < b.Build.ClassFailureRate ||
		b.degraded(time.Now()) && draw("late", request.id) < degradedFailureRate ||
		request.failsAlways
}

// respond counts a request and writes its response. A write error is ignored: the router sees it as a closed connection.
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

// draw returns a pseudo-random number in [0, 1) that depends only on parts, so that a scenario is reproducible whatever the
// order of requests.
func draw(parts ...string) float64 {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = io.WriteString(hash, part)
	}
	return float64(rand.New(rand.NewPCG(hash.Sum64(), 1)).Uint64()>>11) / (1 << 53)
}
