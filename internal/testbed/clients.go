package testbed

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/audit"
	"dapplefront/policy"
)

// RequestClass is a category as clients ask for it.
type RequestClass struct {
	Class
	Path             string
	Share            float64 // of all tasks
	LatencyObjective time.Duration
	Timeout          time.Duration
}

// Target is a router as clients know it.
type Target struct {
	Name    string
	Address string
	Rate    float64 // tasks a second that come to it
}

// Behavior are how clients behave just now.
type Behavior struct {
	RateFactor       float64 // times the usual rate
	MaxRetries       int     // further tries, at the most
	RetryDelay       time.Duration
	HonorsRetryAfter bool    // waits as long as a turn-back says
	AbandonRate      float64 // share of tries left on purpose before their patience ends
	BadRequestRate   float64 // share of tasks that fail wherever they run
	ComplaintRate    float64 // share of wrong answers that are told
}

// Score is what became of tasks; tries of one task count as one.
type Score struct {
	Asked    int `json:"Asked"`
	InTime   int `json:"InTime"`
	Late     int `json:"Late"`
	Rejected int `json:"TurnedBack"`
	Failed   int `json:"Scrapped"`
	Refused  int `json:"Refused"`
	Lost     int `json:"Lost"`
	TimedOut int `json:"Left"`
	Wrong    int `json:"Wrong"`
}

// Add adds another score.
func (s *Score) Add(o Score) {
	s.Asked += o.Asked
	s.InTime += o.InTime
	s.Late += o.Late
	s.Rejected += o.Rejected
	s.Failed += o.Failed
	s.Refused += o.Refused
	s.Lost += o.Lost
	s.TimedOut += o.TimedOut
	s.Wrong += o.Wrong
}

// Clients ask routers for tasks, openly: they come when they come, whether earlier ones are answered or not.
type Clients struct {
	classes       []RequestClass
	recorder      *audit.Recorder
	controllerURL string
	http          *http.Client
	seed          uint64

	mu        sync.Mutex
	behavior  Behavior
	targets   []*Target
	idle      map[string][]*clientConn // by address
	scores    map[string]*Score        // by category
	latencies map[string][]time.Duration
	inFlight  int
	sinceLast Score // since the last look
	lastID    int
	pending   sync.WaitGroup
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// NewClients makes clients of some doors; desk is the URL for complaints, empty for none, and secure how they reach it.
func NewClients(wishes []RequestClass, doors []Target, h Behavior, book *audit.Recorder, desk string, secure *tls.Config, seed uint64) *Clients {
	c := &Clients{http: &http.Client{Transport: &http.Transport{TLSClientConfig: secure}, Timeout: 5 * time.Second}, classes: wishes, recorder: book, controllerURL: desk, seed: seed, behavior: h, idle: map[string][]*clientConn{},
		scores: map[string]*Score{}, latencies: map[string][]time.Duration{}}
	for i := range doors {
		c.targets = append(c.targets, &doors[i])
	}
	for _, w := range wishes {
		c.scores[w.Name] = &Score{}
	}
	return c
}

// ChangeBehavior puts other habits in place.
func (c *Clients) ChangeBehavior(how func(*Behavior)) { c.mu.Lock(); how(&c.behavior); c.mu.Unlock() }

// Move tells that a router listens at another address now.
func (c *Clients) Move(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.targets {
		if d.Name == name {
			for _, w := range c.idle[d.Address] {
				_ = w.Close()
			}
			delete(c.idle, d.Address)
			d.Address = address
		}
	}
}

// Scores are the totals by category, and the times of those finished.
func (c *Clients) Scores() (map[string]Score, map[string][]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, times := map[string]Score{}, map[string][]time.Duration{}
	for k, s := range c.scores {
		out[k], times[k] = *s, append([]time.Duration(nil), c.latencies[k]...)
	}
	return out, times
}

// SinceLast is what happened since it was asked last, and how many tasks are open.
func (c *Clients) SinceLast() (Score, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sinceLast
	c.sinceLast = Score{}
	return s, c.inFlight
}

// Run asks until ctx ends, then waits for what is open.
func (c *Clients) Run(ctx context.Context) {
	var doors sync.WaitGroup
	for i := range c.targets {
		doors.Add(1)
		go func() {
			defer doors.Done()
			c.generate(ctx, c.targets[i], rand.New(rand.NewPCG(c.seed, uint64(i+1))))
		}()
	}
	doors.Wait()
	c.pending.Wait()
	c.mu.Lock()
	for _, all := range c.idle {
		for _, w := range all {
			_ = w.Close()
		}
	}
	clear(c.idle)
	c.mu.Unlock()
}

// generate lets tasks arrive at a door as a Poisson process.
func (c *Clients) generate(ctx context.Context, d *Target, r *rand.Rand) {
	next := time.Now()
	for {
		c.mu.Lock()
		rate := d.Rate * c.behavior.RateFactor
		c.mu.Unlock()
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		pick, w := r.Float64(), c.classes[len(c.classes)-1]
		for _, x := range c.classes {
			if pick -= x.Share; pick < 0 {
				w = x
				break
			}
		}
		c.mu.Lock()
		c.lastID++
		id := fmt.Sprintf("%s-%d", d.Name, c.lastID)
		c.inFlight++
		bad := r.Float64() < c.behavior.BadRequestRate
		c.mu.Unlock()
		c.pending.Add(1)
		seed := r.Uint64()
		go func() {
			defer c.pending.Done()
			c.send(d, w, id, bad, rand.New(rand.NewPCG(seed, 0)))
		}()
	}
}

// send asks for one task, and again as its client does.
func (c *Clients) send(d *Target, w RequestClass, id string, bad bool, r *rand.Rand) {
	began := time.Now()
	patience := time.Duration(float64(w.Timeout) * (0.5 + r.Float64()/2))
	var s Score
	for try := 0; ; try++ {
		c.mu.Lock()
		h := c.behavior
		c.mu.Unlock()
		left := patience - time.Since(began)
		var wait time.Duration
		s, wait = c.attempt(d, w, fmt.Sprintf("%s.%d", id, try), id, left, bad, try > 0, h, r)
		// A binding task is only tried again where the router says that this is harmless, or took nothing.
		harmless := s.Rejected > 0 || w.Idempotency == policy.Idempotent && s.Failed > 0 || s.Refused > 0
		if !h.HonorsRetryAfter {
			wait = h.RetryDelay
		}
		wait = max(wait, h.RetryDelay)
		if !harmless || try >= h.MaxRetries || patience-time.Since(began) < wait+w.LatencyObjective/4 {
			break
		}
		time.Sleep(wait)
	}
	s.Asked = 1
	took := time.Since(began)
	if s.InTime > 0 && took > w.LatencyObjective {
		s.InTime, s.Late = 0, 1
	}
	c.mu.Lock()
	c.scores[w.Name].Add(s)
	if s.InTime+s.Late > 0 {
		c.latencies[w.Name] = append(c.latencies[w.Name], took)
	}
	c.sinceLast.Add(s)
	c.inFlight--
	c.mu.Unlock()
}

// connect is an idle connection to a door, or a new one.
func (c *Clients) connect(address string) (*clientConn, error) {
	for {
		c.mu.Lock()
		all := c.idle[address]
		var w *clientConn
		if len(all) > 0 {
			w = all[len(all)-1]
			c.idle[address] = all[:len(all)-1]
		}
		c.mu.Unlock()
		if w == nil {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return nil, err
			}
			return &clientConn{conn, bufio.NewReader(conn)}, nil
		}
		_ = w.SetReadDeadline(time.Now().Add(-time.Second))
		_, err := w.reader.Peek(1)
		if ne, ok := err.(net.Error); ok && ne.Timeout() { // open, and nothing came that was not asked for
			return w, nil
		}
		_ = w.Close()
	}
}

func (c *Clients) attempt(d *Target, w RequestClass, id, logical string, patience time.Duration, bad, again bool, h Behavior, r *rand.Rand) (
	s Score, wait time.Duration) {
	c.mu.Lock()
	address := d.Address
	c.mu.Unlock()
	began := time.Now()
	link, err := c.connect(address)
	if err != nil {
		c.recorder.RequestSent(id, logical, d.Name, w.Name, patience)
		c.recorder.ConnectFailed(id)
		return Score{Refused: 1}, 200 * time.Millisecond
	}
	var ask strings.Builder
	fmt.Fprintf(&ask, "POST %s HTTP/1.1\r\nHost: %s\r\nStand-Task: %s\r\nDapplefront-Patience: %dms\r\n", w.Path, d.Name, id,
		patience.Milliseconds())
	if w.Idempotency == policy.IdempotentWithKey {
		fmt.Fprintf(&ask, "Idempotency-Key: %s\r\n", logical)
	}
	if bad {
		ask.WriteString("Stand-Bad: 1\r\n")
	}
	if again {
		ask.WriteString("Dapplefront-Again: 1\r\n")
	}
	fmt.Fprintf(&ask, "Content-Length: %d\r\n\r\n%s", len(id), id)
	c.recorder.RequestSent(id, logical, d.Name, w.Name, patience)
	leaves := patience + time.Second
	if r.Float64() < h.AbandonRate {
		leaves = time.Duration(r.Float64() * float64(w.LatencyObjective))
	}
	_ = link.SetDeadline(began.Add(leaves))
	_, err = io.WriteString(link, ask.String())
	var got *http.Response
	var body []byte
	if err == nil {
		got, err = http.ReadResponse(link.reader, nil)
	}
	if err == nil {
		body, err = io.ReadAll(got.Body)
		_ = got.Body.Close()
	}
	if err != nil {
		_ = link.Close()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			c.recorder.ClientLeft(id)
			return Score{TimedOut: 1}, 0
		}
		c.recorder.ConnectionLost(id)
		return Score{Lost: 1}, 0
	}
	outcome := got.Header.Get("Dapplefront-Outcome")
	c.recorder.ResponseReceived(id, outcome)
	if got.Close {
		_ = link.Close()
	} else {
		c.mu.Lock()
		c.idle[address] = append(c.idle[address], link)
		c.mu.Unlock()
	}
	switch {
	case outcome == "finished" && got.StatusCode == 200:
		s.InTime = 1
		if bytes.HasPrefix(body, []byte("wrong")) {
			s.Wrong = 1
			if r.Float64() < h.ComplaintRate {
				c.reportWrongAnswer(d.Name, got.Header.Get("Dapplefront-Host"), w.Name, time.Since(began), r)
			}
		}
	case outcome == "turned-back":
		s.Rejected = 1
		ms, _ := strconv.Atoi(got.Header.Get("Dapplefront-Retry-After-Ms"))
		wait = time.Duration(ms) * time.Millisecond
	case outcome == "scrapped":
		s.Failed = 1
	default:
		s.Refused = 1
	}
	return s, wait
}

func (c *Clients) reportWrongAnswer(router, host, category string, took time.Duration, r *rand.Rand) {
	id, err := strconv.ParseUint(host, 10, 32)
	if c.controllerURL == "" || err != nil {
		return
	}
	after := 500*time.Millisecond + time.Duration(r.Float64()*float64(2*time.Second))
	time.AfterFunc(after, func() {
		body, _ := json.Marshal(api.Complaint{Router: router, Host: uint32(id), Class: category,
			AgeMs: (took + after).Milliseconds()})
		if got, err := c.http.Post(c.controllerURL+"/v1/complaints", "application/json", bytes.NewReader(body)); err == nil {
			_ = got.Body.Close()
		}
	})
}
