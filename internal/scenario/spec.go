package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dapplefront/internal/inifile"
)

// Fault is a fault that is injected for a limited time.
type Fault struct {
	Kind      string        `json:"Kind"`
	At        time.Duration `json:"At"` // offset from the scenario's start
	Duration  time.Duration `json:"For"`
	Share     float64       `json:"Share"` // share of the hosts or routers, depending on the kind
	Magnitude float64       `json:"Size"`  // depending on the kind: a slowdown or rate factor, a number of retries, a share of requests, or seconds
}

// Rollout is a build that is offered for release.
type Rollout struct {
	At   time.Duration `json:"At"`   // offset from the scenario's start
	Kind string        `json:"Kind"` // "good", or the kind of defect
}

// Spec specifies a scenario.
type Spec struct {
	Name        string        `json:"Name"`
	Seed        uint64        `json:"Seed"`
	Length      time.Duration `json:"Length"`
	Zones       int           `json:"Locations"`
	Routers     int           `json:"Routers"`
	Hosts       int           `json:"Hosts"`
	RequestRate float64       `json:"Rate"` // requests per second sent to each router
	Rollouts    []Rollout     `json:"Offers"`
	Faults      []Fault       `json:"Troubles"`
	Agents      bool          `json:"Agents"`      // backends run as processes under build agents
	Controllers int           `json:"Controllers"` // 1 to 5; with three or more, one is restarted in every stage of a canary, the leader in two of the stages
	TLS         bool          `json:"Secure"`      // the controllers use TLS with routers, agents, clients and each other, with roles by certificate
	TrafficPlan string        `json:"Shares"`      // one of TrafficPlans
	Records     string        `json:"Records"`     // folder for the routers' decision records; empty if none are written
	Violation   string        `json:"Breach"`      // one of Violations; empty for routers that keep the rules
}

const (
	maxLength = time.Hour
	minLength = time.Second
)

// ReadFile reads a specification from an INI file.
func ReadFile(file string) (Spec, error) {
	f := inifile.Read(file)
	spec := Parse(f)
	return spec, f.Err()
}

// Parse reads a specification and adds its errors to f.
func Parse(f *inifile.File) Spec {
	d := f.Section("day")
	spec := Spec{
		Name:        d.Text("name", "day"),
		Seed:        d.Seed("seed", "1"),
		Length:      d.Duration("length", "!"),
		Zones:       d.Int("locations", "3", 1, 50),
		Routers:     d.Int("routers", "4", 1, 50),
		Hosts:       d.Int("hosts", "24", 1, 400),
		Agents:      d.Bool("agents", "off"),
		TrafficPlan: d.OneOf("shares", noPlan, TrafficPlans...),
		Controllers: d.Int("controllers", "1", 1, 5),
		TLS:         d.Bool("tls", "off"),
		RequestRate: d.Float("rate", "150", 0.1, 100_000),
	}
	if spec.Hosts < spec.Zones || spec.Routers < spec.Zones {
		d.AddError("hosts", "each location needs a host and a router: at least %d of each expected", spec.Zones)
	}
	if spec.Length > maxLength || spec.Length < minLength {
		d.AddError("length", "length: from 1s to 1h expected")
	}
	builds, faults := kindNames(kinds)
	sections, _ := f.Sections("build")
	for _, s := range sections {
		spec.Rollouts = append(spec.Rollouts, Rollout{At: s.Duration("at", "!"), Kind: s.OneOf("kind", "good", builds...)})
	}
	slices.SortStableFunc(spec.Rollouts, func(a, b Rollout) int { return cmp.Compare(a.At, b.At) })
	sections, _ = f.Sections("trouble")
	for _, s := range sections {
		spec.Faults = append(spec.Faults, Fault{Kind: s.OneOf("kind", "!", faults...), At: s.Duration("at", "!"),
			Duration: s.Duration("for", "!"), Share: s.Share("share", "25%"), Magnitude: s.Float("size", "2", 0, 1000)})
	}
	if err := spec.validate(); err != nil {
		d.AddError("agents", "%v", err)
	}
	return spec
}

// faultsWithAgents lists the kinds of faults that scenarios with agents support. The others need backends inside this
// process.
var faultsWithAgents = []string{"die", "burst", "repeats", "bad-requests", "list-down", "desk-still", "desk-late", "restarts", "stand-still"}

// validate returns an error if parts of the specification can't be combined.
func (s Spec) validate() error {
	if s.Agents && s.TrafficPlan != "" && s.TrafficPlan != noPlan {
		return errors.New("traffic plans (shares) can't be combined with agents")
	}
	for _, rollout := range s.Rollouts {
		k, err := findKind(rollout.Kind)
		if err != nil {
			return err
		}
		if k.needsAgents && !s.Agents {
			return fmt.Errorf("builds of kind %s need agents", rollout.Kind)
		}
		if s.Agents && rollout.Kind == "bad-slows-all" {
			return fmt.Errorf("builds of kind %s can't be combined with agents", rollout.Kind)
		}
	}
	for _, fault := range s.Faults {
		if s.Agents && !slices.Contains(faultsWithAgents, fault.Kind) {
			return fmt.Errorf("faults of kind %s can't be combined with agents; these can: %s", fault.Kind, strings.Join(faultsWithAgents, ", "))
		}
	}
	return nil
}

// Generate draws a specification from a seed. name is a kind, several kinds joined by +, or "mixed".
func Generate(name string, seed uint64, length time.Duration) (Spec, error) {
	r := rand.New(rand.NewPCG(seed, 7))
	spec := Spec{Name: fmt.Sprintf("%s, seed %d", name, seed), Seed: seed, Length: length, Zones: 3, Routers: 4,
		Hosts: 24, RequestRate: 150}
	names := strings.Split(name, "+")
	if name == "mixed" {
		names = mixedKinds(r)
	}
	for _, name := range names {
		k, err := findKind(name)
		if err != nil {
			return spec, err
		}
		if k.isBuild {
			spec.Rollouts = append(spec.Rollouts, Rollout{Kind: k.name})
		} else {
			spec.Faults = append(spec.Faults, k.drawFault(r, length))
		}
	}
	if len(spec.Rollouts) == 0 {
		spec.Rollouts = []Rollout{{Kind: "good"}}
	}
	for i := range spec.Rollouts {
		share := (float64(i) + .1) / float64(len(spec.Rollouts)) * .8
		spec.Rollouts[i].At = time.Duration(share * float64(length))
	}
	return spec, nil
}

// mixedKinds draws a bad build, a good one and three faults from the kinds that need no agents.
func mixedKinds(r *rand.Rand) []string {
	withoutAgents := slices.DeleteFunc(slices.Clone(kinds[1:]), func(k kind) bool { return k.needsAgents }) // kinds[0] is "good"
	badBuilds, faults := kindNames(withoutAgents)
	names := []string{badBuilds[r.IntN(len(badBuilds))], "good"}
	for _, i := range r.Perm(len(faults))[:3] {
		names = append(names, faults[i])
	}
	return names
}
