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

// Wish is a category as clients ask for it.
type Wish struct {
	Kind
	Path     string
	Share    float64 // of all tasks
	Promised time.Duration
	Patience time.Duration
}

// Door is a router as clients know it.
type Door struct {
	Name    string
	Address string
	Rate    float64 // tasks a second that come to it
}

// Habits are how clients behave just now.
type Habits struct {
	Rush     float64 // times the usual rate
	Repeats  int     // further tries, at the most
	Wait     time.Duration
	Heed     bool    // waits as long as a turn-back says
	Leaves   float64 // share of tries left on purpose before their patience ends
	Bad      float64 // share of tasks that fail wherever they run
	Complain float64 // share of wrong answers that are told
}

// Score is what became of tasks; tries of one task count as one.
type Score struct {
	Asked      int `json:"Asked"`
	InTime     int `json:"InTime"`
	Late       int `json:"Late"`
	TurnedBack int `json:"TurnedBack"`
	Scrapped   int `json:"Scrapped"`
	Refused    int `json:"Refused"`
	Lost       int `json:"Lost"`
	Left       int `json:"Left"`
	Wrong      int `json:"Wrong"`
}

// Add adds another score.
func (s *Score) Add(o Score) {
	s.Asked += o.Asked
	s.InTime += o.InTime
	s.Late += o.Late
	s.TurnedBack += o.TurnedBack
	s.Scrapped += o.Scrapped
	s.Refused += o.Refused
	s.Lost += o.Lost
	s.Left += o.Left
	s.Wrong += o.Wrong
}

// Clients ask routers for tasks, openly: they come when they come, whether earlier ones are answered or not.
type Clients struct {
	wishes []Wish
	book   *audit.Book
	desk   string
	http   *http.Client
	seed   uint64

	mu     sync.Mutex
	habits Habits
	doors  []*Door
	idle   map[string][]*wire // by address
	scores map[string]*Score  // by category
	times  map[string][]time.Duration
	open   int
	second Score // since the last look
	next   int
	wait   sync.WaitGroup
}

type wire struct {
	net.Conn
	in *bufio.Reader
}

// NewClients makes clients of some doors; desk is the URL for complaints, empty for none, and secure how they reach it.
func NewClients(wishes []Wish, doors []Door, h Habits, book *audit.Book, desk string, secure *tls.Config, seed uint64) *Clients {
	c := &Clients{http: &http.Client{Transport: &http.Transport{TLSClientConfig: secure}, Timeout: 5 * time.Second}, wishes: wishes, book: book, desk: desk, seed: seed, habits: h, idle: map[string][]*wire{},
		scores: map[string]*Score{}, times: map[string][]time.Duration{}}
	for i := range doors {
		c.doors = append(c.doors, &doors[i])
	}
	for _, w := range wishes {
		c.scores[w.Name] = &Score{}
	}
	return c
}

// Change puts other habits in place.
func (c *Clients) Change(how func(*Habits)) { c.mu.Lock(); how(&c.habits); c.mu.Unlock() }

// Move tells that a router listens at another address now.
func (c *Clients) Move(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.doors {
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
		out[k], times[k] = *s, append([]time.Duration(nil), c.times[k]...)
	}
	return out, times
}

// Second is what happened since it was asked last, and how many tasks are open.
func (c *Clients) Second() (Score, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.second
	c.second = Score{}
	return s, c.open
}

// Run asks until ctx ends, then waits for what is open.
func (c *Clients) Run(ctx context.Context) {
	var doors sync.WaitGroup
	for i := range c.doors {
		doors.Add(1)
		go func() {
			defer doors.Done()
			c.come(ctx, c.doors[i], rand.New(rand.NewPCG(c.seed, uint64(i+1))))
		}()
	}
	doors.Wait()
	c.wait.Wait()
	c.mu.Lock()
	for _, all := range c.idle {
		for _, w := range all {
			_ = w.Close()
		}
	}
	clear(c.idle)
	c.mu.Unlock()
}

// come lets tasks arrive at a door as a Poisson process.
func (c *Clients) come(ctx context.Context, d *Door, r *rand.Rand) {
	next := time.Now()
	for {
		c.mu.Lock()
		rate := d.Rate * c.habits.Rush
		c.mu.Unlock()
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		pick, w := r.Float64(), c.wishes[len(c.wishes)-1]
		for _, x := range c.wishes {
			if pick -= x.Share; pick < 0 {
				w = x
				break
			}
		}
		c.mu.Lock()
		c.next++
		id := fmt.Sprintf("%s-%d", d.Name, c.next)
		c.open++
		bad := r.Float64() < c.habits.Bad
		c.mu.Unlock()
		c.wait.Add(1)
		seed := r.Uint64()
		go func() {
			defer c.wait.Done()
			c.task(d, w, id, bad, rand.New(rand.NewPCG(seed, 0)))
		}()
	}
}

// task asks for one task, and again as its client does.
func (c *Clients) task(d *Door, w Wish, id string, bad bool, r *rand.Rand) {
	began := time.Now()
	patience := time.Duration(float64(w.Patience) * (0.5 + r.Float64()/2))
	var s Score
	for try := 0; ; try++ {
		c.mu.Lock()
		h := c.habits
		c.mu.Unlock()
		left := patience - time.Since(began)
		var wait time.Duration
		s, wait = c.try(d, w, fmt.Sprintf("%s.%d", id, try), id, left, bad, try > 0, h, r)
		// A binding task is only tried again where the router says that this is harmless, or took nothing.
		harmless := s.TurnedBack > 0 || w.Repeat == policy.Idempotent && s.Scrapped > 0 || s.Refused > 0
		if !h.Heed {
			wait = h.Wait
		}
		wait = max(wait, h.Wait)
		if !harmless || try >= h.Repeats || patience-time.Since(began) < wait+w.Promised/4 {
			break
		}
		time.Sleep(wait)
	}
	s.Asked = 1
	took := time.Since(began)
	if s.InTime > 0 && took > w.Promised {
		s.InTime, s.Late = 0, 1
	}
	c.mu.Lock()
	c.scores[w.Name].Add(s)
	if s.InTime+s.Late > 0 {
		c.times[w.Name] = append(c.times[w.Name], took)
	}
	c.second.Add(s)
	c.open--
	c.mu.Unlock()
}

// link is an idle connection to a door, or a new one.
func (c *Clients) link(address string) (*wire, error) {
	for {
		c.mu.Lock()
		all := c.idle[address]
		var w *wire
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
			return &wire{conn, bufio.NewReader(conn)}, nil
		}
		_ = w.SetReadDeadline(time.Now().Add(-time.Second))
		_, err := w.in.Peek(1)
		if ne, ok := err.(net.Error); ok && ne.Timeout() { // open, and nothing came that was not asked for
			return w, nil
		}
		_ = w.Close()
	}
}

func (c *Clients) try(d *Door, w Wish, id, logical string, patience time.Duration, bad, again bool, h Habits, r *rand.Rand) (
	s Score, wait time.Duration) {
	c.mu.Lock()
	address := d.Address
	c.mu.Unlock()
	began := time.Now()
	link, err := c.link(address)
	if err != nil {
		c.book.Asked(id, logical, d.Name, w.Name, patience)
		c.book.Unreached(id)
		return Score{Refused: 1}, 200 * time.Millisecond
	}
	var ask strings.Builder
	fmt.Fprintf(&ask, "POST %s HTTP/1.1\r\nHost: %s\r\nStand-Task: %s\r\nDapplefront-Patience: %dms\r\n", w.Path, d.Name, id,
		patience.Milliseconds())
	if w.Repeat == policy.IdempotentWithKey {
		fmt.Fprintf(&ask, "Idempotency-Key: %s\r\n", logical)
	}
	if bad {
		ask.WriteString("Stand-Bad: 1\r\n")
	}
	if again {
		ask.WriteString("Dapplefront-Again: 1\r\n")
	}
	fmt.Fprintf(&ask, "Content-Length: %d\r\n\r\n%s", len(id), id)
	c.book.Asked(id, logical, d.Name, w.Name, patience)
	leaves := patience + time.Second
	if r.Float64() < h.Leaves {
		leaves = time.Duration(r.Float64() * float64(w.Promised))
	}
	_ = link.SetDeadline(began.Add(leaves))
	_, err = io.WriteString(link, ask.String())
	var got *http.Response
	var body []byte
	if err == nil {
		got, err = http.ReadResponse(link.in, nil)
	}
	if err == nil {
		body, err = io.ReadAll(got.Body)
		_ = got.Body.Close()
	}
	if err != nil {
		_ = link.Close()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			c.book.Left(id)
			return Score{Left: 1}, 0
		}
		c.book.Lost(id)
		return Score{Lost: 1}, 0
	}
	outcome := got.Header.Get("Dapplefront-Outcome")
	c.book.Answered(id, outcome)
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
			if r.Float64() < h.Complain {
				c.complain(d.Name, got.Header.Get("Dapplefront-Host"), w.Name, time.Since(began), r)
			}
		}
	case outcome == "turned-back":
		s.TurnedBack = 1
		ms, _ := strconv.Atoi(got.Header.Get("Dapplefront-Retry-After-Ms"))
		wait = time.Duration(ms) * time.Millisecond
	case outcome == "scrapped":
		s.Scrapped = 1
	default:
		s.Refused = 1
	}
	return s, wait
}

func (c *Clients) complain(router, host, category string, took time.Duration, r *rand.Rand) {
	id, err := strconv.ParseUint(host, 10, 32)
	if c.desk == "" || err != nil {
		return
	}
	after := 500*time.Millisecond + time.Duration(r.Float64()*float64(2*time.Second))
	time.AfterFunc(after, func() {
		body, _ := json.Marshal(api.Complaint{Router: router, Host: uint32(id), Class: category,
			AgeMs: (took + after).Milliseconds()})
		if got, err := c.http.Post(c.desk+"/v1/complaints", "application/json", bytes.NewReader(body)); err == nil {
			_ = got.Body.Close()
		}
	})
}
