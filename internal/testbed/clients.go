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
	minPatience      = time.Millisecond // the least that a client can say
)

// RequestClass is a class of requests as clients send it.
type RequestClass struct {
	Class
	Path             string
	Share            float64       // of all requests
	LatencyObjective time.Duration // a response within it is in time
	Timeout          time.Duration // a single client waits from half of it to all, with all attempts
}

// Target is a router as clients know it.
type Target struct {
	Name    string
	Address string
	Rate    float64 // requests a second
}

// Behavior is how clients behave at present.
type Behavior struct {
	RateFactor       float64       // multiplies Target.Rate
	MaxRetries       int           // of a request, after its first attempt
	RetryDelay       time.Duration // at least, before a retry
	HonorsRetryAfter bool          // waits as long as the router says before a retry
	AbandonRate      float64       // share of attempts that are given up within the latency objective
	BadRequestRate   float64       // share of requests that fail on every backend
	ComplaintRate    float64       // share of wrong responses that are reported to the release controller
}

// Clients send requests to routers in an open loop: requests arrive at their rate whether earlier ones are answered or
// not. Its methods may be called concurrently.
type Clients struct {
	classes       []RequestClass
	recorder      *audit.Recorder
	controllerURL string // empty for no complaints
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
	sinceLast Score // since the last call of SinceLast
	lastID    int
}

// NewClients makes clients that send requests of some classes to some routers once Run is called. They report wrong
// responses to the release controller at controllerURL, over TLS as tlsConfig says; an empty URL is for none. The seed
// fixes when requests arrive and what they are.
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

// ChangeBehavior changes the present behavior, for requests and attempts that begin later.
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

// Run sends requests until ctx ends, then waits for those in flight. Complaints may still be sent for a few seconds.
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

// drawClass picks a class by its share.
func (c *Clients) drawClass(random *rand.Rand) RequestClass {
	rest := random.Float64()
	for _, class := range c.classes {
		if rest -= class.Share; rest < 0 {
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
	random      *rand.Rand // of this request alone
}

// send makes the attempts of a request and counts its outcome, which is that of the last attempt.
func (c *Clients) send(request *clientRequest) {
	start := time.Now()
	class := request.class
	timeout := time.Duration(float64(class.Timeout) * (0.5 + request.random.Float64()/2))
	var outcome Score
	for number := 0; ; number++ {
		behavior := c.currentBehavior()
		left := timeout - time.Since(start)
		if left < minPatience { // it was kept from running for too long
			if number == 0 {
				outcome = Score{TimedOut: 1}
			}
			break
		}
		var retryAfter time.Duration
		outcome, retryAfter = c.attempt(&clientAttempt{clientRequest: request, number: number, timeout: left, behavior: behavior})
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

// retryIsSafe tells whether a client may retry after this outcome. A request that is not idempotent is retried only if
// the router took nothing or says that no backend has begun it.
func retryIsSafe(class RequestClass, outcome Score) bool {
	return outcome.Rejected > 0 || class.Idempotency == policy.Idempotent && outcome.Failed > 0 || outcome.Refused > 0
}

// count adds the outcome of a request to the totals.
func (c *Clients) count(class RequestClass, outcome Score, latency time.Duration) {
	outcome.Asked = 1
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
