package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"dapplefront/internal/api"
	"dapplefront/internal/audit"
	"dapplefront/internal/proxy"
	"dapplefront/internal/routerconfig"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

// figures are what all days share: the rules' figures and how late things are told.
type figures struct {
	locations []string
	grace     time.Duration
	cold      time.Duration
	coldShare float64
	tip       float64
	tipFor    time.Duration
	window    time.Duration
	free      float64
	caps      []float64
	shares    []float64
	guarded   int
	startsIn  time.Duration // a host's process
	listLate  time.Duration
	drains    time.Duration // how long a host stays after it was listed as draining
	deskLate  time.Duration
}

func standard(p Plan) figures {
	f := figures{grace: time.Second, cold: 4 * time.Second, coldShare: 0.35, tip: 3, tipFor: 2 * time.Second,
		window: 4 * time.Second, free: 2, caps: []float64{.05, .15, .5, 1}, shares: []float64{.04, .12, .4, 1}, guarded: 1,
		startsIn: time.Second, listLate: 300 * time.Millisecond, drains: 2500 * time.Millisecond,
		deskLate: 200 * time.Millisecond}
	names := []string{"north", "south", "port"}
	for i := range p.Locations {
		if i < len(names) {
			f.locations = append(f.locations, names[i])
		} else {
			f.locations = append(f.locations, fmt.Sprintf("place-%d", i+1))
		}
	}
	return f
}

var wishes = []testbed.RequestClass{
	{Class: testbed.Class{Name: "quote", Work: 30 * time.Millisecond, Idempotency: policy.Idempotent}, Path: "/quote", Share: .6,
		LatencyObjective: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond},
	{Class: testbed.Class{Name: "order", Work: 40 * time.Millisecond, Idempotency: policy.IdempotentWithKey, DedupWindow: 10 * time.Second},
		Path: "/order", Share: .23, LatencyObjective: 500 * time.Millisecond, Timeout: 2 * time.Second},
	{Class: testbed.Class{Name: "transfer", Work: 25 * time.Millisecond, Idempotency: policy.NonIdempotent}, Path: "/transfer", Share: .17,
		LatencyObjective: 300 * time.Millisecond, Timeout: time.Second},
}

const way = 150 * time.Millisecond // what the audit allows for ways between sockets: many times what loopback takes

// Result is a day that was played.
type Result struct {
	Plan     Plan
	Verdicts []audit.Verdict
	Scores   map[string]testbed.Score
	Times    map[string][]time.Duration
	Moves    []Move
	Counts   map[string]proxy.Counts // by router, of its last life
	Took     time.Duration
	Agents   *AgentTimes // nil without agents
	Stages   []StageScore
	Crossed  float64 // share of the sends that reached another location than their router's
	Planned  *PlanTimes
	Releases []api.ReleaseObject
	Settled  int    // changes of settings in running routers
	Killed   [2]int // controllers ended while the day was played, and of them those that led
}

// StageScore is what became of the tasks that were asked while a release stood at one point, second by second.
type StageScore struct {
	Build int          `json:"Build"`
	Stage int          `json:"Stage"`
	Phase policy.Phase `json:"Phase"`
	testbed.Score
}

// Kept is how many rules were surely kept, and the first that was not.
func (r *Result) Kept() (kept int, first *audit.Verdict) {
	for i, v := range r.Verdicts {
		if v.Kept() {
			kept++
		} else if first == nil || len(first.Broken) == 0 && len(v.Broken) > 0 {
			first = &r.Verdicts[i]
		}
	}
	return kept, first
}

// stage is a day while it is played.
type stage struct {
	plan     Plan
	figures  figures
	log      *slog.Logger
	dir      string
	book     *audit.Recorder
	register *testbed.DiscoveryServer
	desk     *controllers
	trust    *trust // nil without TLS
	fleet    *fleet // hosts inside this process, or
	crew     *crew  // hosts under agents
	clients  *testbed.Clients
	routers  []*seat
	rand     *rand.Rand
	wait     sync.WaitGroup
	mu       sync.Mutex
	stages   []StageScore
	settled  int
}

// seat is one router's place; its instance changes with restarts.
type seat struct {
	name    string
	file    string
	address string

	mu       sync.Mutex
	instance *proxy.Proxy
}

// Play plays a day. It writes a line a second to progress, which may be nil.
func Play(ctx context.Context, p Plan, log *slog.Logger, progress io.Writer) (*Result, error) {
	if err := p.possible(); err != nil {
		return nil, err
	}
	f := standard(p)
	dir, err := os.MkdirTemp("", "dapplefront-day-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &stage{plan: p, figures: f, log: log, dir: dir, book: audit.NewRecorder(), rand: rand.New(rand.NewPCG(p.Seed, 5))}
	defer s.close()
	if err := s.build(); err != nil {
		return nil, err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Length)
	defer cancel()
	s.schedule(ctx)
	planned := s.planShares(ctx)
	playing := make(chan struct{})
	go func() { s.clients.Run(ctx); close(playing) }()
	s.watch(playing, began, progress)
	s.wait.Wait()
	r := &Result{Plan: p, Moves: s.desk.Moves(), Counts: map[string]proxy.Counts{}, Took: time.Since(began)}
	r.Scores, r.Times = s.clients.Scores()
	r.Stages = s.stages
	r.Planned = planned
	r.Killed, r.Settled = s.desk.killed(), s.settled
	s.desk.ask(func(ctx context.Context) (err error) {
		r.Releases, err = s.desk.client.List(ctx, nil, "")
		return err
	})
	if planned != nil {
		planned.heard(s.desk.Heeds())
	}
	if s.crew != nil {
		r.Agents = s.crew.times()
	}
	for _, x := range s.routers {
		x.mu.Lock()
		if x.instance != nil {
			r.Counts[x.name] = x.instance.Counts()
		}
		x.mu.Unlock()
	}
	s.book.Close()
	places := map[string]string{}
	for i, x := range s.routers {
		places[x.name] = f.locations[i%len(f.locations)]
	}
	if all, crossed := s.book.CountCrossZone(places); all > 0 {
		r.Crossed = float64(crossed) / float64(all)
	}
	r.Verdicts = s.book.Judge(s.judged())
	return r, nil
}

// judged are the figures by which the audit judges.
func (s *stage) judged() audit.Limits {
	f := s.figures
	a := audit.Limits{Classes: map[string]audit.Class{}, AnswerSlack: way, DrainGrace: f.grace, ColdOverloadFactor: f.tip, ColdOverloadWindow: f.tipFor,
		ExposureWindow: f.window, ExposureAllowance: f.free, GuardedStages: f.guarded, FirstStageCap: f.caps[0], TransitTime: way}
	for _, w := range wishes {
		a.Classes[w.Name] = audit.Class{Idempotency: w.Idempotency, DedupWindow: w.DedupWindow}
	}
	return a
}

func (s *stage) build() (err error) {
	p, f := s.plan, s.figures
	if s.register, err = testbed.StartDiscovery("127.0.0.1:0", "day", s.book); err != nil {
		return err
	}
	var stages []release.Stage
	for i, c := range f.caps {
		stages = append(stages, release.Stage{HostShare: f.shares[i], ExposureCap: c})
	}
	rules := release.Rules{Mode: policy.Quorum, Stages: stages, MinStageTime: policy.Second, VoteTTL: 8 * policy.Second,
		PromoteQuorum: max(1, p.Routers/2), RollbackQuorum: 1}
	if p.Secure {
		if s.trust, err = newTrust(s.dir); err != nil {
			return err
		}
	}
	if s.desk, err = startControllers(max(1, p.Controllers), rules, f, filepath.Join(s.dir, "controllers"), s.trust, s.book, s.log); err != nil {
		return err
	}
	if p.Agents {
		s.crew, err = newCrew(s)
	} else {
		err = s.people()
	}
	if err != nil {
		return err
	}
	var doors []testbed.Target
	for i := range p.Routers {
		x, err := s.seat(i)
		if err != nil {
			return err
		}
		s.routers = append(s.routers, x)
		if err := s.open(x); err != nil {
			return err
		}
		doors = append(doors, testbed.Target{Name: x.name, Address: x.address, Rate: p.Rate})
	}
	time.Sleep(300 * time.Millisecond) // the list and the news are on their way
	secure, err := s.trust.client("clients")
	if err != nil {
		return err
	}
	s.clients = testbed.NewClients(wishes, doors, testbed.Behavior{RateFactor: 1, MaxRetries: 2, RetryDelay: 100 * time.Millisecond, HonorsRetryAfter: true,
		AbandonRate: .003, ComplaintRate: .3}, s.book, strings.Split(s.desk.URL(), ", ")[0], secure, p.Seed)
	return nil
}

// people starts all hosts inside this process.
func (s *stage) people() error {
	world := testbed.Environment{Observer: s.book, Classes: kindsOf(), Keys: &testbed.KeyStore{}}
	s.fleet = newFleet(s.plan, s.figures, world, s.register)
	s.fleet.desk = s.desk
	s.desk.SetFleet(s.fleet)
	var all []*member
	for place := range s.fleet.places {
		h, err := s.fleet.start(place, 1, false)
		if err != nil {
			return err
		}
		all = append(all, h)
	}
	s.fleet.list(policy.Serving, all...)
	return nil
}

func kindsOf() map[string]testbed.Class {
	kinds := map[string]testbed.Class{}
	for _, w := range wishes {
		kinds[w.Name] = w.Class
	}
	return kinds
}

// seat writes the charter of a router: the same file that an operator would write.
func (s *stage) seat(i int) (*seat, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // a free port, which restarts keep
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	_ = l.Close()
	f := s.figures
	x := &seat{name: fmt.Sprintf("r%d", i+1), address: address}
	x.file = filepath.Join(s.dir, x.name+".ini")
	var b strings.Builder
	fmt.Fprintf(&b, "[router]\nname = %s\nlisten = %s\nrouters = %d\nrank = %d\nlocation = %s\nseed = %d\nlast-list = %s\n",
		x.name, address, s.plan.Routers, i, f.locations[i%len(f.locations)], s.plan.Seed+uint64(i),
		filepath.Join(s.dir, x.name+".list"))
	ask := "changes"
	if i%2 == 1 {
		ask = "whole"
	}
	fmt.Fprintf(&b, "[register]\naddress = %s\nnames = %s\nask = %s\n", s.register.Address(),
		strings.Join(s.register.Resources(f.locations), ", "), ask)
	caps := make([]string, len(f.caps))
	for n, c := range f.caps {
		caps[n] = fmt.Sprintf("%g%%", 100*c)
	}
	fmt.Fprintf(&b, "[desk]\nurl = %s\ncaps = %s\nleast-time = 1s\nto-move-on = %d\nto-abort = 1\nvote-life = 8s\n"+
		"vote-timeout = 1s\nvotes-a-second = 30\nwindow = %s\nfree = %g\nguarded-stages = %d\ncounted = 40%%\n"+
		"counts-over = 2s\ncomplaints = 30%%\n", s.desk.URL(), strings.Join(caps, ", "), max(1, s.plan.Routers/2), f.window, f.free, f.guarded)
	if s.trust != nil {
		k, err := s.trust.files(x.name)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(&b, "certificate = %s\nkey = %s\nauthority = %s\n", k.Certificate, k.Key, k.Authority)
	}
	fmt.Fprintf(&b, "[rules]\ngrace = %s\ncold = %s\ncold-share = %g%%\ntip = %g\ntip-for = %s\n", f.grace, f.cold,
		100*f.coldShare, f.tip, f.tipFor)
	for _, w := range wishes {
		repeat := []string{"retriable", "fingerprinted", "binding"}[w.Idempotency]
		fmt.Fprintf(&b, "[category %s]\nrepeat = %s\npaths = %s\npromised = %s\npatience = %s\n", w.Name, repeat, w.Path,
			w.LatencyObjective, w.Timeout)
		if w.Idempotency == policy.IdempotentWithKey {
			fmt.Fprintf(&b, "memory = %s\n", w.DedupWindow)
		}
	}
	if s.plan.Records != "" {
		fmt.Fprintf(&b, "[records]\nfolder = %s\n", s.plan.Records)
	}
	return x, os.WriteFile(x.file, []byte(b.String()), 0o600)
}

// open starts the router of a seat.
func (s *stage) open(x *seat) error {
	c, err := routerconfig.Read(x.file)
	if err != nil {
		return err
	}
	bend, err := newWrong(s.plan.Breach, s.figures)
	if err != nil {
		return err
	}
	s.book.RouterStarting(x.name)
	i, err := proxy.Start(c, s.log, bend)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.instance = i
	x.mu.Unlock()
	return nil
}

// kill ends the router of a seat at once.
func (s *stage) kill(x *seat) {
	x.mu.Lock()
	i := x.instance
	x.instance = nil
	x.mu.Unlock()
	if i != nil {
		s.book.RouterStopping(x.name)
		i.Close()
	}
}

// watch writes a line a second until all is played.
func (s *stage) watch(playing <-chan struct{}, began time.Time, progress io.Writer) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-playing:
			return
		case <-t.C:
		}
		if s.fleet != nil {
			s.fleet.forgetTraffic()
		}
		score, open := s.clients.SinceLast()
		n := s.desk.News()
		s.count(n, score)
		if progress == nil {
			continue
		}
		fmt.Fprintf(progress, "%4.0f s  asked %5d  in time %5d  late %4d  turned back %4d  scrapped %3d  lost %3d  open %4d  "+
			"build %d %s, stage %d\n", time.Since(began).Seconds(), score.Asked, score.InTime, score.Late, score.Rejected,
			score.Failed, score.Lost+score.Refused, open, n.Build, phases[n.Phase], n.Stage)
	}
}

// count adds a second's score to the stage that the release is in.
func (s *stage) count(n release.Status, score testbed.Score) {
	for i := range s.stages {
		if x := &s.stages[i]; x.Build == n.Build && x.Stage == n.Stage && x.Phase == n.Phase {
			x.Score.Add(score)
			return
		}
	}
	s.stages = append(s.stages, StageScore{n.Build, n.Stage, n.Phase, score})
}

var phases = []string{"on trial", "going back", "released", "withdrawn"}

func (s *stage) close() {
	for _, x := range s.routers {
		x.mu.Lock()
		if x.instance != nil {
			x.instance.Close()
			x.instance = nil
		}
		x.mu.Unlock()
	}
	if s.fleet != nil {
		s.fleet.close()
	}
	if s.crew != nil {
		s.crew.close()
	}
	if s.desk != nil {
		s.desk.Stop()
	}
	if s.register != nil {
		s.register.Stop()
	}
}
