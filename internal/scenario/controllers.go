package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dapplefront/client"
	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/internal/audit"
	"dapplefront/internal/controller"
	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/release"
)

// Fleet carries out what a release asks for, and tells by Ready and Gone when it is done.
type Fleet interface {
	Place(build int, share float64)
	Retire(build int)
}

// Move is one step of a release, for the report.
type Move struct {
	At    time.Duration `json:"At"`
	Build int           `json:"Build"`
	Stage int           `json:"Stage"`
	Phase policy.Phase  `json:"Phase"`
}

// controllers are the day's release controllers: one, three or five instances of the real one, on loopback.
type controllers struct {
	log     *slog.Logger
	book    *audit.Recorder
	figures figures
	dir     string
	client  *client.Client
	seats   []*office
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu     sync.Mutex
	fleet  Fleet
	ledger *ledger // of agents, nil without
	moves  []Move
	late   time.Duration
	still  bool
	counts map[[2]string]*tally
	heeds  map[uint64]map[string]api.PlanAck
	kills  [2]int // instances ended while the day was played, and of them those that led
}

// office is one instance's place.
type office struct {
	seat  controller.NodeConfig
	front controller.ServerConfig
	mu    sync.Mutex
	node  *controller.Node
	serve *controller.Server
}

type tally struct {
	build, bad, samples, good int
	category                  string
	took                      time.Duration
}

// startControllers starts so many at which build 1 has been released.
func startControllers(n int, rules release.Rules, f figures, dir string, secure *trust, book *audit.Recorder, log *slog.Logger) (*controllers, error) {
	ctx, stop := context.WithCancel(context.Background())
	c := &controllers{log: log, book: book, figures: f, dir: dir, stop: stop, counts: map[[2]string]*tally{}, heeds: map[uint64]map[string]api.PlanAck{}}
	var urls []string
	var h *http.Client
	if secure != nil {
		ring, err := secure.ring("day")
		if err != nil {
			stop()
			return nil, err
		}
		h = &http.Client{Transport: &http.Transport{TLSClientConfig: ring.Client()}}
	}
	for i := range n {
		o := &office{seat: controller.NodeConfig{Name: fmt.Sprintf("c%d", i+1), Dir: filepath.Join(dir, fmt.Sprintf("c%d", i+1)), Listen: "127.0.0.1:0",
			Bootstrap: i == 0, FastElections: true, InitialBuild: 1, Control: control.Config{Rules: rules, RouterTimeout: 10 * policy.Second}},
			front: controller.ServerConfig{Listen: "127.0.0.1:0", VotesPerSecond: 30, Fault: c.fault, OnStatusSent: c.told}}
		if secure != nil {
			ring, err := secure.ring(o.seat.Name)
			if err != nil {
				c.Stop()
				return nil, err
			}
			o.seat.StreamLayer = controller.TLSStreamLayer(ring, []string{"c?"})
			o.front.Authorizer = &controller.Authorizer{ServerTLS: ring.Server(), ClientTLS: ring.Client(), Grants: grants, Peers: []string{"c?"}}
		}
		c.seats = append(c.seats, o)
		if err := o.open(log); err != nil {
			c.Stop()
			return nil, err
		}
		o.seat.Listen, o.front.Listen, o.front.URL = o.node.Address(), o.serve.URL()[strings.Index(o.serve.URL(), "//")+2:], o.serve.URL()
		urls = append(urls, o.serve.URL())
		c.client = client.New(urls, h)
		if i > 0 {
			within, cancel := context.WithTimeout(ctx, 10*time.Second)
			err := c.client.AddController(within, o.seat.Name, api.Controller{Address: o.seat.Listen, URL: o.front.URL})
			cancel()
			if err != nil {
				c.Stop()
				return nil, err
			}
		}
	}
	for end := time.Now().Add(10 * time.Second); c.leader() == nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.Stop()
			return nil, fmt.Errorf("controllers: none leads")
		}
	}
	c.done.Add(2)
	go func() { defer c.done.Done(); c.client.Watch(ctx, c.hear, func(error) {}) }()
	go c.tell(ctx)
	return c, nil
}

func (o *office) open(log *slog.Logger) (err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.node, err = controller.Open(o.seat, log); err != nil {
		o.node = nil
		return err
	}
	if o.serve, err = controller.Serve(o.node, o.front, log); err != nil {
		_ = o.node.Close()
		o.node = nil
	}
	return err
}

func (o *office) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.node != nil {
		o.serve.Close()
		_ = o.node.Close()
		o.node = nil
	}
}

func (c *controllers) leader() *office {
	for _, o := range c.seats {
		o.mu.Lock()
		leads := false
		if o.node != nil {
			leads, _ = o.node.IsLeader()
		}
		o.mu.Unlock()
		if leads {
			return o
		}
	}
	return nil
}

// kill ends an instance, the one that leads or another, and starts it again with its old disk after a while.
func (c *controllers) kill(lead bool) {
	if len(c.seats) < 3 {
		return
	}
	x := c.leader()
	if x == nil {
		return
	}
	if !lead {
		for _, o := range c.seats {
			if o != x {
				x = o
				break
			}
		}
	}
	c.mu.Lock()
	if c.kills[0]++; lead {
		c.kills[1]++
	}
	c.mu.Unlock()
	x.close()
	time.Sleep(time.Duration(400+rand.IntN(400)) * time.Millisecond)
	if err := x.open(c.log); err != nil {
		c.log.Error("a controller does not come back", "controller", x.seat.Name, "error", err)
	}
}

func (c *controllers) killed() [2]int { c.mu.Lock(); defer c.mu.Unlock(); return c.kills }

func (c *controllers) fault() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.figures.deskLate + c.late, c.still
}

func (c *controllers) told(router string, n api.Release) {
	c.book.ReleaseAnnounced(router, audit.ReleaseStatus{Build: n.Build, Stage: n.Stage, Released: n.Phase == api.Phases[policy.Released], ExposureCap: n.ExposureCap})
}

// hear is the fleet's watch: orders are carried out, and moves are noted.
func (c *controllers) hear(event string, data []byte) error {
	c.mu.Lock()
	fleet, agents := c.fleet, c.ledger
	c.mu.Unlock()
	switch event {
	case "agent":
		if agents != nil {
			return agents.hear(data)
		}
	case "place":
		var p control.DeployOrder
		if err := json.Unmarshal(data, &p); err != nil {
			return err
		}
		go fleet.Place(p.Build, p.Share)
	case "retire":
		var r control.RetireOrder
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		go fleet.Retire(r.Build)
	case api.EventReleaseStatus:
		var r api.Release
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		n, err := r.Status()
		if err != nil {
			return err
		}
		c.moved(n)
	}
	return nil
}

// moved notes a move, once; every stage costs one instance, two of them the one that leads.
func (c *controllers) moved(n policy.ReleaseStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := len(c.moves); n.Build == 1 || k > 0 && c.moves[k-1].Build == n.Build && c.moves[k-1].Stage == n.Stage && c.moves[k-1].Phase == n.Phase {
		return
	}
	c.moves = append(c.moves, Move{At: c.book.Now(), Build: n.Build, Stage: n.Stage, Phase: n.Phase})
	if n.Phase == policy.Canary {
		lead := n.Stage == 1 || n.Stage == 2
		c.done.Add(1)
		go func() { defer c.done.Done(); c.kill(lead) }()
	}
}

// tell posts counts now and then, about as late as the day's desk is.
func (c *controllers) tell(ctx context.Context) {
	defer c.done.Done()
	for sleep(ctx, 2*time.Second) {
		c.mu.Lock()
		counts, late := c.counts, time.Second+c.late
		c.counts = map[[2]string]*tally{}
		c.mu.Unlock()
		go func() {
			if !sleep(ctx, late) {
				return
			}
			for _, t := range counts {
				a := api.Counts{Build: t.build, Class: t.category, Failures: t.bad, Samples: t.samples, AgeMs: late.Milliseconds()}
				if t.good > 0 {
					a.MeanMs = float64(t.took.Microseconds()) / 1000 / float64(t.good)
				}
				c.ask(func(ctx context.Context) error { return c.client.EmitCounts(ctx, a) })
			}
		}()
	}
}

func (c *controllers) ask(do func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := do(ctx); err != nil {
		c.log.Warn("controllers", "error", err)
	}
}

// Count takes in one send that a host has answered.
func (c *controllers) Count(build int, category string, took time.Duration, bad bool) {
	const counted = .4
	if rand.Float64() >= counted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := [2]string{fmt.Sprint(build), category}
	t := c.counts[k]
	if t == nil {
		t = &tally{build: build, category: category}
		c.counts[k] = t
	}
	if t.samples++; bad {
		t.bad++
	} else {
		t.good++
		t.took += took
	}
}

// Hear passes on what happened to the fleet or was offered; votes come from routers by themselves.
func (c *controllers) Hear(in release.Input) {
	c.ask(func(ctx context.Context) error {
		switch in := in.(type) {
		case release.Offer:
			_, err := c.client.Create(ctx, api.CreateRelease{Build: in.Build}, fmt.Sprint("day-", in.Build))
			return err
		case release.HostsReady:
			return c.client.CompleteOrder(ctx, in.Build, "ready")
		case release.HostsRemoved:
			return c.client.CompleteOrder(ctx, in.Build, "gone")
		case release.RollBack:
			_, err := c.client.RollBack(ctx, in.Build)
			return err
		}
		return fmt.Errorf("%T is no matter of the fleet's", in)
	})
}

// state reads from any instance, the one that leads if there is one.
func (c *controllers) state(f func(*control.State)) {
	seats := append([]*office{c.leader()}, c.seats...)
	for _, o := range seats {
		if o == nil {
			continue
		}
		o.mu.Lock()
		n := o.node
		if n != nil {
			n.Read(func(s *control.State, _ policy.Time) { f(s) })
		}
		o.mu.Unlock()
		if n != nil {
			return
		}
	}
}

func (c *controllers) News() (n release.Status) {
	c.state(func(s *control.State) { n = s.Status() })
	return n
}

func (c *controllers) Earlier() (n int) {
	c.state(func(s *control.State) { n = s.PreviousBuild() })
	return n
}

func (c *controllers) Moves() []Move {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Move(nil), c.moves...)
}

func (c *controllers) Lateness(d time.Duration) { c.mu.Lock(); c.late = d; c.mu.Unlock() }
func (c *controllers) Still(still bool)         { c.mu.Lock(); c.still = still; c.mu.Unlock() }
func (c *controllers) SetFleet(f Fleet)         { c.mu.Lock(); c.fleet = f; c.mu.Unlock() }

// URL names all instances, with commas between them.
func (c *controllers) URL() string {
	var all []string
	for _, o := range c.seats {
		all = append(all, o.front.URL)
	}
	return strings.Join(all, ", ")
}

func (c *controllers) Publish(p *plan.Published) {
	c.note()
	c.ask(func(ctx context.Context) error {
		return c.client.PublishPlan(ctx, p.Version, api.Published{Build: p.Build, Stage: p.Stage, ValidForMs: (4 * time.Second).Milliseconds(), For: p.ByZone})
	})
}

// note keeps what routers said of the plan in force, before the next one takes its place.
func (c *controllers) note() {
	c.state(func(s *control.State) {
		active, _ := s.ActivePlan(s.Clock())
		if active == nil {
			return
		}
		by := map[string]api.PlanAck{}
		for r, h := range s.PlanAcks() {
			by[r] = api.PlanAck{Followed: h.Reason == "", Reason: h.Reason}
		}
		c.mu.Lock()
		c.heeds[active.Version] = by
		c.mu.Unlock()
	})
}

func (c *controllers) Heeds() map[uint64]map[string]api.PlanAck {
	c.note()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heeds
}

func (c *controllers) Stop() {
	c.stop()
	c.done.Wait()
	for _, o := range c.seats {
		o.close()
	}
	_ = os.RemoveAll(c.dir)
}
