package scenario

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	mathrand "math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"aead.dev/minisign"

	"dapplefront/agent"
	"dapplefront/build"
	"dapplefront/internal/agentd"
	"dapplefront/internal/api"
	"dapplefront/internal/artifact"
	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

// crew is all hosts under agents: builds are packed, signed and put on a mirror; each place's agent fetches, checks,
// starts and takes them back by orders; the register lists what agents report.
type crew struct {
	stage    *stage
	log      *slog.Logger
	ledger   *ledger
	mirror   *testbed.Mirror
	nest     *testbed.ObserverServer
	keys     []minisign.PrivateKey
	places   []testbed.Machine
	agents   []*agentd.Agent
	names    []string
	listings chan listing

	mu      sync.Mutex
	digests map[int]string // by build
	numbers map[string]int // by digest
	ids     map[string]uint32
	hosts   map[uint32]*testbed.Backend
	has     []map[int]bool        // by place, the builds that were ordered there
	retired map[int]time.Duration // when a build's taking off was ordered
}

// AgentTimes is what agents' reports tell of how long things took.
type AgentTimes struct {
	Phases  map[string][]time.Duration `json:"Phases"`  // spent in each phase, over all agents and builds
	Serving []time.Duration            `json:"Serving"` // from order to ready, over all but the first build
	Retired map[int]time.Duration      `json:"Retired"` // from a build's taking off being ordered to the last task that reached it
}

// times works them out of the reports.
func (c *crew) times() *AgentTimes {
	t := &AgentTimes{Phases: map[string][]time.Duration{}, Retired: map[int]time.Duration{}}
	for _, name := range c.names {
		since, ordered := map[string]int64{}, map[string]int64{}
		for _, r := range c.ledger.of(name) {
			if r.To == "" {
				continue
			}
			if from, ok := since[r.Digest]; ok && r.From != r.To {
				t.Phases[r.From] = append(t.Phases[r.From], time.Duration(r.AtMs-from)*time.Millisecond)
			}
			since[r.Digest] = r.AtMs
			switch {
			case r.To == string(agent.Fetching):
				ordered[r.Digest] = r.AtMs
			case r.To == string(agent.WarmingUp) && r.Build > 1:
				t.Serving = append(t.Serving, time.Duration(r.AtMs-ordered[r.Digest])*time.Millisecond)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, at := range c.retired {
		if last := c.stage.book.LastArrival(n); last > 0 {
			t.Retired[n] = max(0, last-at)
		}
	}
	return t
}

// listing is what the register is to show, and when.
type listing struct {
	due   time.Time
	entry testbed.Endpoint
}

const patient = 30 * time.Second // for an agent to carry out an order; it reports failures much sooner

func newCrew(s *stage) (*crew, error) {
	c := &crew{stage: s, log: s.log, digests: map[int]string{}, numbers: map[string]int{}, ids: map[string]uint32{},
		hosts: map[uint32]*testbed.Backend{}, retired: map[int]time.Duration{}, listings: make(chan listing, 4096),
		places: places(s.plan, s.figures, mathrand.New(mathrand.NewPCG(s.plan.Seed, 3)))}
	var err error
	c.ledger = newLedger(s.desk, c.heard)
	if c.mirror, err = testbed.StartMirror(); err != nil {
		return c, err
	}
	if c.nest, err = testbed.StartObserverServer(s.book, &testbed.KeyStore{}, s.desk.Count, c.id); err != nil {
		return c, err
	}
	s.desk.SetFleet(c)
	go c.show()
	ring := &build.KeyRing{Format: 1, Version: 1, Threshold: 2, Group: "day"}
	for _, name := range []string{"ada", "ben", "cyd"} {
		public, private, err := minisign.GenerateKey(rand.Reader)
		if err != nil {
			return c, err
		}
		text, err := public.MarshalText()
		if err != nil {
			return c, err
		}
		c.keys = append(c.keys, private)
		ring.Keys = append(ring.Keys, build.Key{Name: name, PublicKey: string(text), NotBefore: time.Now().Add(-time.Hour),
			NotAfter: time.Now().Add(24 * time.Hour)})
	}
	if err := c.pack(testbed.Build{Number: 1}, "good"); err != nil {
		return c, err
	}
	for i := range c.places { // known before the first agent reports
		c.names, c.has = append(c.names, fmt.Sprintf("h%d", i+1)), append(c.has, map[int]bool{1: true})
	}
	for i, m := range c.places {
		place, err := json.Marshal(m)
		if err != nil {
			return c, err
		}
		name := c.names[i]
		secure, err := s.trust.client(name)
		if err != nil {
			return c, err
		}
		a, err := agentd.Start(agentd.Config{Name: name, TLS: secure, Dir: filepath.Join(s.dir, name), Controller: s.desk.URL(),
			Source:           artifact.Source{Mirrors: []string{c.mirror.URL()}, MaxAttempts: 3, Backoff: 50 * time.Millisecond, IdleTimeout: 2 * time.Second},
			MaxArtifactBytes: 64 << 20, MaxOutputBytes: 64 << 10, KeyRing: ring, WarmUp: s.figures.cold, DrainDelay: s.figures.drains,
			Env:    []string{testbed.MachineVariable + "=" + string(place)},
			Limits: agent.Limits{MaxCrashes: 3, CrashBackoff: 200 * time.Millisecond, MaxCrashBackoff: 2 * time.Second, CrashResetAfter: 10 * time.Second}}, c.log)
		if err != nil {
			return c, err
		}
		c.agents = append(c.agents, a)
		c.ledger.order(name, api.Order{Digest: c.digests[1], Build: 1, Goal: "release"})
	}
	for _, name := range c.names { // the day begins with warm hosts
		if c.ledger.await(name, 0, c.digests[1], patient, string(agent.Serving)) == "" {
			return c, fmt.Errorf("agent %s does not come up: %+v", name, c.ledger.of(name))
		}
	}
	return c, nil
}

// pack makes a stand-in build, signs it as its kind allows, and puts it on the mirror.
func (c *crew) pack(b testbed.Build, kind string) error {
	folder, err := os.MkdirTemp(c.stage.dir, "build-")
	if err != nil {
		return err
	}
	if err := testbed.WriteBuild(folder, b, kindsOf(), c.nest.Address()); err != nil {
		return err
	}
	m := &build.Manifest{Format: 1, Name: "stand-in", Group: "day", Version: b.Number, Start: []string{"run.sh"}}
	m.Ready.Path, m.Ready.Within, m.Drain.Within = "/ready", build.Duration(10*time.Second), build.Duration(2*time.Second)
	out := filepath.Join(c.stage.dir, "mirror")
	digest, err := artifact.Pack(folder, out, m)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(filepath.Join(out, "manifest", digest))
	if err != nil {
		return err
	}
	signatures := [][]byte{minisign.Sign(c.keys[0], raw), minisign.Sign(c.keys[1], raw)}
	if kind == "bad-signed" {
		signatures = signatures[:1]
	}
	c.mirror.Put("/manifest/"+digest, raw)
	c.mirror.PutSignatures(digest, signatures...)
	for _, f := range m.Files {
		body, err := os.ReadFile(filepath.Join(out, "sha256", f.SHA256))
		if err != nil {
			return err
		}
		if kind == "bad-bytes" {
			body[len(body)/2] ^= 1
		}
		c.mirror.Put("/sha256/"+f.SHA256, body)
	}
	c.mu.Lock()
	c.digests[b.Number], c.numbers[digest] = digest, b.Number
	c.mu.Unlock()
	return nil
}

// id is the number of the host at an address.
func (c *crew) id(address string) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[address] == 0 {
		c.ids[address] = uint32(len(c.ids) + 1)
	}
	return c.ids[address]
}

// heard takes in an agent's report: what is to be listed, and builds that it refuses.
func (c *crew) heard(name string, r api.AgentReport) {
	if r.EndpointState != "" && r.Address != "" {
		id := c.id(r.Address)
		c.mu.Lock()
		h := c.hosts[id]
		if h == nil {
			m := c.place(name)
			m.ID = id
			h = testbed.RemoteBackend(r.Address, m, c.numbers[r.Digest])
			h.StartedAt = time.UnixMilli(r.StartedAtMs)
			c.hosts[id] = h
		}
		c.mu.Unlock()
		standing := map[string]policy.EndpointState{string(agent.EndpointDraining): policy.Draining, string(agent.EndpointRemoved): policy.Removed}[r.EndpointState]
		c.listings <- listing{time.Now().Add(c.stage.figures.listLate), testbed.Endpoint{Backend: h, State: standing}}
	}
	if r.To == string(agent.Failed) {
		c.mu.Lock()
		n := c.numbers[r.Digest]
		c.mu.Unlock()
		c.log.Info("a build is refused", "agent", name, "build", n, "cause", r.Cause)
		if n > 1 {
			c.stage.desk.Hear(release.RollBack{Build: n})
		}
	}
}

func (c *crew) place(name string) testbed.Machine {
	for i, n := range c.names {
		if n == name {
			return c.places[i]
		}
	}
	return testbed.Machine{} // no agent of ours
}

// show lets the register follow, as late as it does.
func (c *crew) show() {
	for l := range c.listings {
		time.Sleep(time.Until(l.due))
		c.stage.register.Set(l.entry)
	}
}

// Place sees that a share of the places runs a build (Fleet). All fetch and check it first; starts are paced by
// location: a third of its places at once, the next when these are ready.
func (c *crew) Place(number int, share float64) {
	want := max(1, int(math.Ceil(share*float64(len(c.places))-1e-9)))
	c.mu.Lock()
	digest := c.digests[number]
	var chosen []int
	have := 0
	for _, h := range c.has {
		if h[number] {
			have++
		}
	}
	for i := 0; i < len(c.places) && have < want; i++ {
		place := (i*7 + number) % len(c.places)
		if len(c.places)%7 == 0 {
			place = i
		}
		if !c.has[place][number] {
			c.has[place][number] = true
			chosen = append(chosen, place)
			have++
		}
	}
	c.mu.Unlock()
	order := func(place int, goal string, phases ...agent.Phase) bool {
		name := c.names[place]
		mark := c.ledger.mark(name)
		c.ledger.order(name, api.Order{Digest: digest, Build: number, Goal: goal})
		words := []string{string(agent.Failed), string(agent.Removed)}
		for _, p := range phases {
			words = append(words, string(p))
		}
		got := c.ledger.await(name, mark, digest, patient, words...)
		return got != "" && got != string(agent.Failed) && got != string(agent.Removed)
	}
	var failed atomic.Bool
	each := func(places []int, do func(int) bool) {
		var wait sync.WaitGroup
		for _, place := range places {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if !do(place) {
					failed.Store(true)
				}
			}()
		}
		wait.Wait()
	}
	each(chosen, func(place int) bool { return order(place, "stage", agent.Staged) })
	byLocation := map[string][]int{}
	for _, place := range chosen {
		l := c.places[place].Zone
		byLocation[l] = append(byLocation[l], place)
	}
	var wait sync.WaitGroup
	for _, places := range byLocation {
		wait.Add(1)
		go func() {
			defer wait.Done()
			atOnce := max(1, len(c.places)/len(byLocation)/3)
			for from := 0; from < len(places) && !failed.Load(); from += atOnce {
				each(places[from:min(len(places), from+atOnce)], func(place int) bool { return order(place, "serve", agent.WarmingUp) })
			}
		}()
	}
	wait.Wait()
	if !failed.Load() {
		time.Sleep(c.stage.figures.listLate)
		c.stage.desk.Hear(release.HostsReady{Build: number})
	}
}

// Retire takes a build off all places (Fleet): the earlier one by releasing the newer in its place, a newer one
// by taking it back.
func (c *crew) Retire(number int) {
	n := c.stage.desk.News()
	earlier := c.stage.desk.Earlier()
	c.mu.Lock()
	digest, o := c.digests[number], api.Order{Digest: c.digests[n.Build], Build: n.Build, Goal: "release"}
	if n.Build == number {
		o = api.Order{Digest: digest, Build: number, Goal: "take-back", ReplacementDigest: c.digests[earlier], ReplacementBuild: earlier}
	} else if n.Phase != policy.Released { // overtaken on trial
		o = api.Order{Digest: digest, Build: number, Goal: "take-back"}
	}
	c.retired[number] = c.stage.book.Now()
	var at []int
	for place, h := range c.has {
		if h[number] {
			at = append(at, place)
			delete(h, number)
		}
	}
	c.mu.Unlock()
	var wait sync.WaitGroup
	for _, place := range at {
		wait.Add(1)
		go func() {
			defer wait.Done()
			name := c.names[place]
			mark := c.ledger.mark(name)
			c.ledger.order(name, o)
			c.ledger.await(name, mark, digest, patient, string(agent.Removed))
		}()
	}
	wait.Wait()
	c.stage.desk.Hear(release.HostsRemoved{Build: number})
}

// die kills the processes of some hosts; their agents start them again, cold.
func (c *crew) die(share float64) {
	for i, a := range c.agents {
		if float64(i) >= math.Max(1, math.Round(share*float64(len(c.agents)))) {
			return
		}
		s := a.State()
		if r := s.Stable; r != nil && r.Process.Pid > 0 {
			_ = syscall.Kill(-r.Process.Pid, syscall.SIGKILL)
		}
	}
}

func (c *crew) close() {
	var wait sync.WaitGroup
	for _, a := range c.agents {
		wait.Add(1)
		go func() { defer wait.Done(); a.Stop() }()
	}
	wait.Wait()
	if c.nest != nil {
		c.nest.Stop()
	}
	if c.mirror != nil {
		c.mirror.Stop()
	}
}
