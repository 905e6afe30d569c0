// Package scenario plays a day of trouble on loopback: real routers against stand-ins for hosts, register, desk and
// clients, by a script or by chance, and has the audit judge the five rules from what was seen at the sockets.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dapplefront/internal/inifile"
)

// Trouble is one thing that goes wrong for a while.
type Trouble struct {
	Kind  string        `json:"Kind"`
	At    time.Duration `json:"At"` // from the day's start
	For   time.Duration `json:"For"`
	Share float64       `json:"Share"` // of hosts or routers; what it means depends on the kind
	Size  float64       `json:"Size"`  // times slower, times the rate, share of tasks
}

// Offer is a build that is offered.
type Offer struct {
	At   time.Duration `json:"At"`
	Kind string        `json:"Kind"` // good, or what is bad about it
}

// Plan is a day before it is played.
type Plan struct {
	Name        string        `json:"Name"`
	Seed        uint64        `json:"Seed"`
	Length      time.Duration `json:"Length"`
	Locations   int           `json:"Locations"`
	Routers     int           `json:"Routers"`
	Hosts       int           `json:"Hosts"`
	Rate        float64       `json:"Rate"` // tasks a second for each router
	Offers      []Offer       `json:"Offers"`
	Troubles    []Trouble     `json:"Troubles"`
	Agents      bool          `json:"Agents"`      // hosts are processes that build agents fetch, check, start and take back
	Controllers int           `json:"Controllers"` // of releases: 1, 3 or 5; of several, one is ended at every stage, twice the one that leads
	Secure      bool          `json:"Secure"`      // controllers, routers, agents and clients speak TLS among themselves, with roles
	Shares      string        `json:"Shares"`      // none, plan, stale or absurd: what routers are told of shares worked out ahead
	Records     string        `json:"Records"`     // a folder for the routers' decision records; empty for none
	Breach      string        `json:"Breach"`      // answer, effect, drain, cold or exposure: routers built wrong on purpose
}

// kinds of trouble, with what they are for people and how one is drawn.
type kind struct {
	name, text string
	build      bool // a bad build rather than a trouble of its own
	agents     bool // only with agents
	share      [2]float64
	size       [2]float64
	lasts      [2]float64 // of the day's length
}

var kinds = []kind{
	{name: "good", text: "no trouble; a good build is released", build: true},
	{name: "bad-some", text: "a build fails some of all tasks", build: true},
	{name: "bad-category", text: "a build fails most of one category", build: true},
	{name: "bad-work", text: "a build needs more work", build: true},
	{name: "bad-late", text: "a build turns slow and fails some seconds after its host's start", build: true},
	{name: "bad-wrong", text: "a build gives wrong answers", build: true},
	{name: "bad-slows-all", text: "a build slows all hosts in step with the traffic that it gets", build: true},
	{name: "bad-bytes", text: "a mirror serves a build with wrong bytes (with agents)", build: true, agents: true},
	{name: "bad-signed", text: "a build lacks a signature (with agents)", build: true, agents: true},
	{name: "die", text: "hosts die at once and come back cold", share: [2]float64{.08, .2}, lasts: [2]float64{.2, .4}},
	{name: "lose-place", text: "all hosts of a location die at once and come back cold much later", lasts: [2]float64{.3, .5}},
	{name: "cold-place", text: "all hosts of a location start anew at once", lasts: [2]float64{.01, .02}},
	{name: "hang", text: "hosts take tasks and answer none", share: [2]float64{.05, .18}, lasts: [2]float64{.2, .4}},
	{name: "fail-fast", text: "hosts quickly fail most tasks", share: [2]float64{.05, .18}, size: [2]float64{.4, .8}, lasts: [2]float64{.2, .5}},
	{name: "slow", text: "hosts run several times slower", share: [2]float64{.1, .23}, size: [2]float64{3, 9}, lasts: [2]float64{.3, .5}},
	{name: "pause", text: "hosts stand still for moments, again and again", share: [2]float64{.2, .45}, lasts: [2]float64{.3, .6}},
	{name: "refuse", text: "hosts take no new connections", share: [2]float64{.1, .25}, lasts: [2]float64{.2, .4}},
	{name: "one-sided", text: "one router's links to some hosts are bad", share: [2]float64{.1, .3}, lasts: [2]float64{.3, .5}},
	{name: "all-slow", text: "all hosts run slower at once", share: [2]float64{1, 1}, size: [2]float64{1.6, 2.6}, lasts: [2]float64{.15, .3}},
	{name: "drain", text: "hosts drain, leave and are replaced", share: [2]float64{.1, .25}, lasts: [2]float64{.2, .3}},
	{name: "burst", text: "more tasks come", size: [2]float64{1.7, 2.5}, lasts: [2]float64{.1, .25}},
	{name: "repeats", text: "clients try again at once, several times", size: [2]float64{3, 5}, lasts: [2]float64{.3, .6}},
	{name: "bad-requests", text: "some tasks fail wherever they run", size: [2]float64{.05, .2}, lasts: [2]float64{.3, .6}},
	{name: "list-down", text: "the host list is out of reach", lasts: [2]float64{.2, .5}},
	{name: "reports-late", text: "load reports and all that the desk tells are late", size: [2]float64{1, 4}, lasts: [2]float64{.4, .7}},
	{name: "desk-still", text: "the desk stands still; votes go unanswered, though some count", lasts: [2]float64{.15, .4}},
	{name: "desk-late", text: "the desk's news is late", size: [2]float64{2, 6}, lasts: [2]float64{.4, .8}},
	{name: "restarts", text: "routers are killed in batches and come back with nothing but their last list", share: [2]float64{.25, .5}, lasts: [2]float64{.3, .6}},
	{name: "switch", text: "routers go over to other settings, with probes, peers and no copies at once, and back", lasts: [2]float64{.3, .5}},
	{name: "stand-still", text: "routers stand still for a moment", share: [2]float64{.25, .5}, size: [2]float64{.1, .4}, lasts: [2]float64{.3, .5}},
}

// Kinds are the names of what can be drawn, with what they are.
func Kinds() (names, texts []string) {
	for _, k := range kinds {
		names, texts = append(names, k.name), append(texts, k.text)
	}
	return append(names, "mixed"), append(texts, "a bad build, a good one, and three troubles that overlap")
}

func find(name string) (kind, error) {
	i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })
	if i < 0 {
		return kind{}, fmt.Errorf("no kind of trouble is called %q; day --list names them", name)
	}
	return kinds[i], nil
}

// Draw makes a plan by chance: a kind, several joined by +, or "mixed".
func Draw(name string, seed uint64, length time.Duration) (Plan, error) {
	r := rand.New(rand.NewPCG(seed, 7))
	p := Plan{Name: fmt.Sprintf("%s, seed %d", name, seed), Seed: seed, Length: length, Locations: 3, Routers: 4,
		Hosts: 24, Rate: 150}
	names := strings.Split(name, "+")
	if name == "mixed" {
		var bads, troubles []string
		for _, k := range kinds[1:] {
			if k.agents {
				continue
			} else if k.build {
				bads = append(bads, k.name)
			} else {
				troubles = append(troubles, k.name)
			}
		}
		names = []string{bads[r.IntN(len(bads))], "good"}
		for _, i := range r.Perm(len(troubles))[:3] {
			names = append(names, troubles[i])
		}
	}
	for _, n := range names {
		k, err := find(n)
		if err != nil {
			return p, err
		}
		if k.build {
			p.Offers = append(p.Offers, Offer{Kind: k.name})
			continue
		}
		in := func(of [2]float64) float64 { return of[0] + r.Float64()*(of[1]-of[0]) }
		t := Trouble{Kind: k.name, Share: in(k.share), Size: in(k.size), For: time.Duration(in(k.lasts) * float64(length))}
		t.At = time.Duration((.1 + .3*r.Float64()) * float64(length))
		p.Troubles = append(p.Troubles, t)
	}
	if len(p.Offers) == 0 {
		p.Offers = []Offer{{Kind: "good"}}
	}
	for i := range p.Offers {
		share := (float64(i) + .1) / float64(len(p.Offers)) * .8
		p.Offers[i].At = time.Duration(share * float64(length))
	}
	return p, nil
}

// Read reads a plan from an INI file.
func Read(file string) (Plan, error) {
	s := inifile.Read(file)
	p := From(s)
	return p, s.Err()
}

// From reads a plan; mistakes are kept by the sheet.
func From(s *inifile.File) Plan {
	d := s.Section("day")
	p := Plan{Name: d.Text("name", "day"), Seed: d.Seed("seed", "1"), Length: d.Duration("length", "!"),
		Locations: d.Int("locations", "3", 1, 50), Routers: d.Int("routers", "4", 1, 50),
		Hosts: d.Int("hosts", "24", 1, 400), Agents: d.Bool("agents", "off"), Shares: d.OneOf("shares", "none", Shares...), Controllers: d.Int("controllers", "1", 1, 5), Secure: d.Bool("tls", "off"), Rate: d.Float("rate", "150", 0.1, 100_000)}
	if p.Hosts < p.Locations || p.Routers < p.Locations {
		d.AddError("hosts", "each location needs a host and a router: at least %d of each expected", p.Locations)
	}
	if p.Length > time.Hour || p.Length < time.Second {
		d.AddError("length", "length: from 1s to 1h expected")
	}
	var builds, troubles []string
	for _, k := range kinds {
		if k.build {
			builds = append(builds, k.name)
		} else {
			troubles = append(troubles, k.name)
		}
	}
	parts, _ := s.Sections("build")
	for _, b := range parts {
		p.Offers = append(p.Offers, Offer{At: b.Duration("at", "!"), Kind: b.OneOf("kind", "good", builds...)})
	}
	slices.SortStableFunc(p.Offers, func(a, b Offer) int { return int(a.At - b.At) })
	parts, _ = s.Sections("trouble")
	for _, t := range parts {
		p.Troubles = append(p.Troubles, Trouble{Kind: t.OneOf("kind", "!", troubles...), At: t.Duration("at", "!"),
			For: t.Duration("for", "!"), Share: t.Share("share", "25%"), Size: t.Float("size", "2", 0, 1000)})
	}
	if err := p.possible(); err != nil {
		d.AddError("agents", "%v", err)
	}
	return p
}

// Shares are what routers may be told of shares worked out ahead: nothing, plans kept up to date, one plan from the
// start that is never renewed, or one that gives nearly all to one host of each location.
var Shares = []string{"none", "plan", "stale", "absurd"}

// withAgents are the troubles that can befall hosts which are processes under agents.
var withAgents = []string{"die", "burst", "repeats", "bad-requests", "list-down", "desk-still", "desk-late", "restarts", "stand-still"}

// possible tells what can't be played: stand-in hosts have faults of their own only inside the day's process.
func (p Plan) possible() error {
	if p.Agents && p.Shares != "" && p.Shares != "none" {
		return fmt.Errorf("shares worked out ahead can't be played with agents")
	}
	for _, o := range p.Offers {
		k, err := find(o.Kind)
		if err != nil {
			return err
		}
		if k.agents && !p.Agents {
			return fmt.Errorf("builds of the kind %s need agents", o.Kind)
		}
		if p.Agents && o.Kind == "bad-slows-all" {
			return fmt.Errorf("builds of the kind %s can't be played with agents", o.Kind)
		}
	}
	for _, t := range p.Troubles {
		if p.Agents && !slices.Contains(withAgents, t.Kind) {
			return fmt.Errorf("the trouble %s can't be played with agents; %s can", t.Kind, strings.Join(withAgents, ", "))
		}
	}
	return nil
}
