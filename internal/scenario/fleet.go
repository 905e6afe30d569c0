package scenario

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dapplefront/internal/testbed"
	"dapplefront/policy"
	"dapplefront/release"
)

// fleet is all hosts: it starts, drains and replaces processes, and keeps the register told.
type fleet struct {
	world    testbed.Environment
	register *testbed.DiscoveryServer
	desk     *controllers
	figures  figures
	places   []testbed.Machine // one for each place, without an id
	builds   map[int]testbed.Build

	mu     sync.Mutex
	rand   *rand.Rand
	next   uint32
	hosts  []*member
	closed bool

	sends atomic.Int64 // lately, at all builds and at the one that slows all
	slow  atomic.Int64
}

// member is a process at a place.
type member struct {
	*testbed.Backend
	place   int
	leaving bool
}

func newFleet(p Plan, f figures, w testbed.Environment, register *testbed.DiscoveryServer) *fleet {
	fl := &fleet{register: register, figures: f, builds: map[int]testbed.Build{1: {Number: 1}},
		rand: rand.New(rand.NewPCG(p.Seed, 3))}
	fl.places = places(p, f, fl.rand)
	w.Slowdown = fl.slows
	w.CountRequest = fl.count
	fl.world = w
	return fl
}

// places are the machines that a day's hosts run on, without their ids.
func places(p Plan, f figures, r *rand.Rand) (all []testbed.Machine) {
	for i := range p.Hosts {
		all = append(all, testbed.Machine{Zone: f.locations[i%len(f.locations)], Cell: i % len(f.locations), Cores: 2,
			Speed: 0.85 + 0.3*r.Float64(), ColdCapacity: f.coldShare, WarmUp: f.cold, ColdOverloadFactor: f.tip, ColdOverloadWindow: f.tipFor})
	}
	return all
}

// count passes what hosts answered to the desk, and notes how much of it a build that slows all got.
func (f *fleet) count(build int, category string, took time.Duration, bad bool) {
	f.sends.Add(1)
	f.mu.Lock()
	slows := f.builds[build].FleetSlowdown
	f.mu.Unlock()
	if slows > 0 {
		f.slow.Add(1)
	}
	f.desk.Count(build, category, took, bad)
}

// forgetTraffic lets the share of a build that slows all follow the traffic.
func (f *fleet) forgetTraffic() {
	f.sends.Store(f.sends.Load() / 2)
	f.slow.Store(f.slow.Load() / 2)
}

// slows is how many times slower all hosts are for a build that slows them.
func (f *fleet) slows() float64 {
	all, at := f.sends.Load(), f.slow.Load()
	if at == 0 || all == 0 {
		return 1
	}
	return 1 + 2*float64(at)/float64(all)
}

// start starts a process at a place; cold ones are listed a little later.
func (f *fleet) start(place, build int, cold bool) (*member, error) {
	f.mu.Lock()
	f.next++
	m := f.places[place]
	m.ID = f.next
	b, closed := f.builds[build], f.closed
	f.mu.Unlock()
	if closed {
		return nil, nil
	}
	h, err := testbed.StartBackend(m, b, cold, f.world)
	if err != nil {
		return nil, err
	}
	x := &member{Backend: h, place: place}
	f.mu.Lock()
	f.hosts = append(f.hosts, x)
	f.mu.Unlock()
	return x, nil
}

func (f *fleet) list(standing policy.EndpointState, hosts ...*member) {
	var entries []testbed.Endpoint
	for _, h := range hosts {
		entries = append(entries, testbed.Endpoint{Backend: h.Backend, State: standing})
	}
	f.register.Set(entries...)
}

// of are the hosts that are not leaving, of a build; 0 for all.
func (f *fleet) of(build int) (out []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if !h.leaving && (build == 0 || h.Build.Number == build) {
			out = append(out, h)
		}
	}
	return out
}

// at are the hosts of a location that are not leaving.
func (f *fleet) at(location string) []*member {
	return slices.DeleteFunc(f.of(0), func(h *member) bool { return h.Zone != location })
}

// some draws a share of the hosts, at least one.
func (f *fleet) some(share float64) []*member {
	all := f.of(0)
	f.mu.Lock()
	f.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.mu.Unlock()
	return all[:min(len(all), max(1, int(math.Round(share*float64(len(all))))))]
}

// Place sees that a share of the places runs a build (Fleet).
func (f *fleet) Place(build int, share float64) {
	want := max(1, int(math.Ceil(share*float64(len(f.places))-1e-9)))
	taken := map[int]bool{}
	for _, h := range f.of(build) {
		taken[h.place] = true
	}
	// Places far apart first, so that each location has some of an early stage's hosts.
	var start sync.WaitGroup
	for i := 0; i < len(f.places) && len(taken) < want; i++ {
		place := (i*7 + build) % len(f.places)
		if len(f.places)%7 == 0 {
			place = i
		}
		if taken[place] {
			continue
		}
		taken[place] = true
		start.Add(1)
		go func() {
			defer start.Done()
			f.mu.Lock()
			wait := time.Duration((.2 + .8*f.rand.Float64()) * float64(f.figures.startsIn))
			f.mu.Unlock()
			time.Sleep(wait)
			if h, err := f.start(place, build, true); err == nil && h != nil {
				time.Sleep(f.figures.listLate)
				f.list(policy.Serving, h)
			}
		}()
	}
	start.Wait()
	f.desk.Hear(release.HostsReady{Build: build})
}

// Retire drains a build's hosts and ends them (Fleet).
func (f *fleet) Retire(build int) {
	f.drain(f.of(build))
	f.desk.Hear(release.HostsRemoved{Build: build})
}

func (f *fleet) drain(hosts []*member) {
	if len(hosts) == 0 {
		return
	}
	f.mu.Lock()
	for _, h := range hosts {
		h.leaving = true
	}
	f.mu.Unlock()
	f.list(policy.Draining, hosts...)
	time.Sleep(f.figures.drains)
	f.remove(hosts, func(h *member) { h.Stop(2 * time.Second) })
}

func (f *fleet) remove(hosts []*member, how func(*member)) {
	f.list(policy.Removed, hosts...)
	f.mu.Lock()
	f.hosts = slices.DeleteFunc(f.hosts, func(h *member) bool { return slices.Contains(hosts, h) })
	f.mu.Unlock()
	var end sync.WaitGroup
	for _, h := range hosts {
		end.Add(1)
		go func() { defer end.Done(); how(h) }()
	}
	end.Wait()
}

// die kills hosts at once; the list learns of it late, and other processes come up cold at their places.
func (f *fleet) die(hosts []*member, comeBack time.Duration) {
	f.mu.Lock()
	for _, h := range hosts {
		h.leaving = true
	}
	f.mu.Unlock()
	for _, h := range hosts {
		h.Kill()
	}
	time.Sleep(f.figures.listLate + 500*time.Millisecond)
	f.remove(hosts, func(*member) {})
	time.Sleep(comeBack)
	serving := map[int]bool{}
	for _, h := range f.of(0) {
		serving[h.Build.Number] = true
	}
	for _, h := range hosts {
		if !serving[h.Build.Number] { // its build has been retired meanwhile
			continue
		}
		if x, err := f.start(h.place, h.Build.Number, true); err == nil && x != nil {
			time.AfterFunc(f.figures.listLate, func() { f.list(policy.Serving, x) })
		}
	}
}

func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	hosts := slices.Clone(f.hosts) // others may still be taken out of it
	f.mu.Unlock()
	for _, h := range hosts {
		h.Kill()
	}
}
