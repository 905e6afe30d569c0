package testbed

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dapplefront/internal/audit"
	"dapplefront/policy"
)

const (
	complaintTimeout = 5 * time.Second
	minTimeout       = time.Millisecond // the smallest value that the timeout header can express
)

// RequestClass is a class of requests as clients send them.
type RequestClass struct {
	Class
	Path             string
	Share            float64       // share of all requests
	LatencyObjective time.Duration // a response within this time counts as in time
	Timeout          time.Duration // a request's timeout, over all attempts, is 0.5 to 1 times this
}

// Target is a router to which clients send requests.
type Target struct {
	Name    string
	Address string
	Rate    float64 // requests per second
}

// Behavior is the current behavior of clients.
type Behavior struct {
	RateFactor       float64       // multiplies Target.Rate
	MaxRetries       int           // retries of a request after its first attempt
	RetryDelay       time.Duration // minimum delay before a retry
	HonorsRetryAfter bool          // waits at least as long as the router's Retry-After header says before a retry
	AbandonRate      float64       // share of attempts that the client abandons within the latency objective
	BadRequestRate   float64       // share of requests that fail on every backend
	ComplaintRate    float64       // share of wrong responses that are reported to the release controller
}

// Clients send requests to routers in an open loop: the rate does not depend on whether earlier requests have completed.
// The methods may be called concurrently.
type Clients struct {
	classes       []RequestClass
	recorder      *audit.Recorder
	controllerURL string // empty if clients send no complaints
	controller    *http.Client
	seed          uint64
	requests      sync.WaitGroup // a goroutine for each request in flight

	mu        sync.Mutex
	behavior  Behavior
	targets   []*Target
	idle      map[string][]*clientConn   // by address
	scores    map[string]*Score          // by class
	latencies map[string][]time.Duration // by class
	inFlight  int
	sinceLast Score // requests that ended since the last call of SinceLast
	lastID    int
}

// NewClients returns clients that send requests of the given classes to the given routers once Run is called. They report
// wrong responses to the release controller at controllerURL with tlsConfig, or to none if the URL is empty. The seed
// determines the arrival times and the properties of requests.
func NewClients(classes []RequestClass, targets []Target, behavior Behavior, recorder *audit.Recorder,
	controllerURL string, tlsConfig *tls.Config, seed uint64) *Clients {
	c := &Clients{
		controller: &http.Client{
			Transport: &http.Transport{TLSClientConfig: tlsConfig}, Timeout: complaintTimeout,
		},
		classes: classes, recorder: recorder, controllerURL: controllerURL, seed: seed, behavior: behavior,
		idle: map[string][]*clientConn{}, scores: map[string]*Score{}, latencies: map[string][]time.Duration{},
	}
	for i := range targets {
		c.targets = append(c.targets, &targets[i])
	}
	for _, class := range classes {
		c.scores[class.Name] = &Score{}
	}
	return c
}

// ChangeBehavior changes the behavior for requests and attempts that start later.
func (c *Clients) ChangeBehavior(change func(*Behavior)) {
	c.mu.Lock()
	change(&c.behavior)
	c.mu.Unlock()
}

func (c *Clients) currentBehavior() Behavior {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.behavior
}

// Run sends requests until ctx is done, then waits for those in flight. Complaints may still be sent for a few seconds after
// it returns.
func (c *Clients) Run(ctx context.Context) {
	var generators sync.WaitGroup
	for i := range c.targets {
		generators.Add(1)
		go func() {
			defer generators.Done()
			c.generate(ctx, c.targets[i], rand.New(rand.NewPCG(c.seed, uint64(i+1))))
		}()
	}
	generators.Wait()
	c.requests.Wait()
	c.closeIdle()
}

// generate sends requests to a target as a Poisson process.
func (c *Clients) generate(ctx context.Context, target *Target, random *rand.Rand) {
	next := time.Now()
	for {
		c.mu.Lock()
		rate := target.Rate * c.behavior.RateFactor
		c.mu.Unlock()
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		request := clientRequest{target: target, class: c.drawClass(random)}
		c.mu.Lock()
		c.lastID++
		request.requestID = fmt.Sprintf("%s-%d", target.Name, c.lastID)
		c.inFlight++
		request.failsAlways = random.Float64() < c.behavior.BadRequestRate
		c.mu.Unlock()
		c.requests.Add(1)
		seed := random.Uint64()
		go func() {
			defer c.requests.Done()
			request.random = rand.New(rand.NewPCG(seed, 0))
			c.send(&request)
		}()
	}
}

// drawClass picks a random class by the shares.
func (c *Clients) drawClass(random *rand.Rand) RequestClass {
	remaining := random.Float64()
	for _, class := range c.classes {
		if remaining -= class.Share; remaining < 0 {
			return class
		}
	}
	return c.classes[len(c.classes)-1]
}

// clientRequest is a request with all of its attempts.
type clientRequest struct {
	target      *Target // Clients.mu guards its address
	class       RequestClass
	requestID   string
	failsAlways bool
	random      *rand.Rand // used only by this request
}

// send makes the attempts of a request and counts its outcome, which is the outcome of the last attempt.
func (c *Clients) send(request *clientRequest) {
	start := time.Now()
	class := request.class
	timeout := time.Duration(float64(class.Timeout) * (0.5 + request.random.Float64()/2))
	var outcome Score
	for number := 0; ; number++ {
		behavior := c.currentBehavior()
		remaining := timeout - time.Since(start)
		if remaining < minTimeout { // this goroutine was scheduled too late
			if number == 0 {
				outcome = Score{TimedOut: 1}
			}
			break
		}
		var retryAfter time.Duration
		outcome, retryAfter = c.attempt(&clientAttempt{clientRequest: request, number: number, timeout: remaining, behavior: behavior})
		delay := behavior.RetryDelay
		if behavior.HonorsRetryAfter {
			delay = max(retryAfter, delay)
		}
		if !retryIsSafe(class, outcome) || number >= behavior.MaxRetries ||
			timeout-time.Since(start) < delay+class.LatencyObjective/4 {
			break
		}
		time.Sleep(delay)
	}
	c.count(class, outcome, time.Since(start))
}

// retryIsSafe reports whether a client may retry after this outcome. A request that is not idempotent is retried only if the
// router did not accept it, or rejected it, which means that no backend has started it.
func retryIsSafe(class RequestClass, outcome Score) bool {
	return outcome.Rejected > 0 || class.Idempotency == policy.Idempotent && outcome.Failed > 0 || outcome.Refused > 0
}

// count adds the outcome of a request to the totals.
func (c *Clients) count(class RequestClass, outcome Score, latency time.Duration) {
	outcome.Requests = 1
	if outcome.InTime > 0 && latency > class.LatencyObjective {
		outcome.InTime, outcome.Late = 0, 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scores[class.Name].Add(outcome)
	if outcome.InTime+outcome.Late > 0 {
		c.latencies[class.Name] = append(c.latencies[class.Name], latency)
	}
	c.sinceLast.Add(outcome)
	c.inFlight--
}
