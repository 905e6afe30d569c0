// Case 9 shows a router that goes on sending to a draining host long after discovery is back.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"dapplefront/review/stand2"
)

const (
	routers    = 12
	perSecond  = 30 // requests a second of one router
	drainGrace = 500 * time.Millisecond
	toldAfter  = 6 * time.Second         // a change counts as told at the latest so long after discovery could be reached
	slack      = 150 * time.Millisecond  // 50 ms of the rules on sockets, and 100 ms for this machine
	outage     = 5200 * time.Millisecond // the list is out of reach for 5.2 to 24 s
	longest    = 24 * time.Second
)

// site is one router with its way to discovery.
type site struct {
	name      string
	hosts     []*stand2.Host // the first one drains
	discovery *stand2.Discovery
	router    *stand2.Router
	clients   *stand2.Clients

	mu       sync.Mutex
	downAt   time.Time
	backAt   time.Time
	returned chan struct{}
}

func main() { stand2.Main(play) }

func play(c *stand2.Case) (broken bool, err error) {
	sites := make([]*site, routers)
	results := make([]error, routers)
	violations := make([]int, routers)
	var wg sync.WaitGroup
	for n := range sites {
		wg.Go(func() { sites[n], results[n] = newSite(c, n) })
	}
	if wg.Wait(); errors.Join(results...) != nil {
		return false, errors.Join(results...)
	}
	for n, s := range sites {
		wg.Go(func() { violations[n], results[n] = s.play(c) })
	}
	wg.Wait()
	total, of := 0, 0
	for _, n := range violations {
		if total += n; n > 0 {
			of++
		}
	}
	c.Say("%d requests began at draining hosts after the grace, from %d of %d routers", total, of, routers)
	if err := errors.Join(results...); err != nil && total == 0 {
		return false, err
	}
	return total > 0, nil
}

func newSite(c *stand2.Case, n int) (*site, error) {
	s := &site{name: fmt.Sprintf("n%d", n), returned: make(chan struct{})}
	for i := range 3 {
		h, err := c.NewHost(fmt.Sprintf("s-%d-%d", n, i), 41, 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	var err error
	if s.discovery, err = c.NewDiscovery(s.name, s.hosts); err != nil {
		return nil, err
	}
	s.discovery.Called = s.called
	platform, err := c.NewPlatform(stand2.Status{Build: 41, Mode: "live", Exposure: 1, Since: time.Now().Add(-time.Hour)}, 2*time.Second)
	if err != nil {
		return nil, err
	}
	settings := stand2.Settings([]stand2.Class{
		{Name: "quote-check", Semantics: "repeatable", Aim: 800 * time.Millisecond, Deadline: 2 * time.Second, Importance: 1},
	}, routers, n, map[string]stand2.Object{
		"Obligations": {"DrainGraceUs": drainGrace.Microseconds(), "StartCapacity": 0.31, "TipMultiple": 2.5, "OverloadForUs": 2000000},
		"Permissions": {"MaxAttempts": 4, "SecondCopies": true, "ConnIdleUs": 30000000},
		"Extra": {"Control": "any", "StageCap": []float64{0.056, 0.14, 0.35, 0.77, 1}, "Waves": []float64{0.04, 0.1, 0.25, 0.55, 1},
			"AyesNeeded": 1, "ToAbort": 1, "BakeUs": 1000000, "CallTimeoutUs": 1200000, "ExposureWindowUs": 4000000, "Free": 1.0,
			"GuardedStages": 2, "Counts": "class", "RepeatEveryUs": 6000000, "VoteStandsUs": 4000000, "VoteAllowance": 120.0},
	})
	if s.router, err = c.NewRouter(s.name, stand2.Config(s.discovery, platform, settings)); err != nil {
		return nil, err
	}
	s.clients = c.NewClients(s.router)
	return s, s.router.Start()
}

// called brings discovery back, as soon as it has been down for long enough.
func (s *site) called(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backAt.IsZero() && at.Sub(s.downAt) >= outage {
		s.discovery.SetDown(false)
		s.backAt = time.Now()
		close(s.returned)
	}
}

// play plays the outage at one router, and returns how many requests began at the draining host too late.
func (s *site) play(c *stand2.Case) (violations int, err error) {
	stop := make(chan struct{})
	served := 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	wg.Go(func() {
		s.clients.Load(perSecond, stop, func() stand2.Request {
			return stand2.Request{Class: "quote-check", Method: http.MethodGet, Timeout: 2 * time.Second}
		}, func(r stand2.Result) {
			mu.Lock()
			defer mu.Unlock()
			if r.Status == http.StatusOK {
				served++
			}
		})
	})
	time.Sleep(4 * time.Second)
	if c.Trouble {
		s.mu.Lock()
		s.downAt = time.Now()
		s.mu.Unlock()
		s.discovery.SetDown(true)
		time.Sleep(2 * time.Second)
	}
	s.discovery.Change(func() { s.hosts[0].Phase = "draining" })
	c.Note("host %s drains", s.hosts[0].Name)
	told := time.Now()
	if c.Trouble {
		select {
		case <-s.returned:
			told = s.backAt
		case <-time.After(longest):
			close(stop)
			return 0, errors.New("the router has not called discovery for 24 s")
		}
	}
	time.Sleep(toldAfter + drainGrace + 3*time.Second)
	close(stop)
	wg.Wait()
	c.Note("router %s: out of reach for %.2f s, %d requests served", s.name, s.backAt.Sub(s.downAt).Seconds(), served)
	if served == 0 {
		return 0, fmt.Errorf("router %s served nothing", s.name)
	}
	for _, a := range s.hosts[0].Attempts() {
		if late := a.FirstByte.Sub(told.Add(toldAfter + drainGrace + slack)); late > 0 {
			c.NoteAt(a.FirstByte, "BROKEN: router %s sent %s to the draining host %s, %.3f s after discovery could be reached again",
				s.name, a.ID, s.hosts[0].Name, a.FirstByte.Sub(told).Seconds())
			violations++
		}
	}
	return violations, nil
}
