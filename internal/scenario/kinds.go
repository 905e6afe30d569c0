package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of build or fault, with how a fault of the kind is drawn.
type kind struct {
	name, description string
	isBuild           bool // a build rather than a fault
	needsAgents       bool
	share             interval
	magnitude         interval
	duration          interval // as a share of the scenario's length
}

// interval is where a number is drawn from.
type interval [2]float64

func (i interval) draw(r *rand.Rand) float64 { return i[0] + r.Float64()*(i[1]-i[0]) }

// drawFault draws share, magnitude, duration and start of a fault, in this order.
func (k kind) drawFault(r *rand.Rand, length time.Duration) Fault {
	fault := Fault{Kind: k.name, Share: k.share.draw(r), Magnitude: k.magnitude.draw(r),
		Duration: time.Duration(k.duration.draw(r) * float64(length))}
	fault.At = time.Duration((.1 + .3*r.Float64()) * float64(length))
	return fault
}

// kinds are all kinds. Their names and descriptions are the operators'.
var kinds = []kind{
	{name: "good", description: "no trouble; a good build is released", isBuild: true},
	{name: "bad-some", description: "a build fails some of all tasks", isBuild: true},
	{name: "bad-category", description: "a build fails most of one category", isBuild: true},
	{name: "bad-work", description: "a build needs more work", isBuild: true},
	{name: "bad-late", description: "a build turns slow and fails some seconds after its host's start", isBuild: true},
	{name: "bad-wrong", description: "a build gives wrong answers", isBuild: true},
	{name: "bad-slows-all", description: "a build slows all hosts in step with the traffic that it gets", isBuild: true},
	{name: "bad-bytes", description: "a mirror serves a build with wrong bytes (with agents)", isBuild: true, needsAgents: true},
	{name: "bad-signed", description: "a build lacks a signature (with agents)", isBuild: true, needsAgents: true},
	{name: "die", description: "hosts die at once and come back cold", share: interval{.08, .2}, duration: interval{.2, .4}},
	{name: "lose-place", description: "all hosts of a location die at once and come back cold much later", duration: interval{.3, .5}},
	{name: "cold-place", description: "all hosts of a location start anew at once", duration: interval{.01, .02}},
	{name: "hang", description: "hosts take tasks and answer none", share: interval{.05, .18}, duration: interval{.2, .4}},
	{name: "fail-fast", description: "hosts quickly fail most tasks", share: interval{.05, .18}, magnitude: interval{.4, .8}, duration: interval{.2, .5}},
	{name: "slow", description: "hosts run several times slower", share: interval{.1, .23}, magnitude: interval{3, 9}, duration: interval{.3, .5}},
	{name: "pause", description: "hosts stand still for moments, again and again", share: interval{.2, .45}, duration: interval{.3, .6}},
	{name: "refuse", description: "hosts take no new connections", share: interval{.1, .25}, duration: interval{.2, .4}},
	{name: "one-sided", description: "one router's links to some hosts are bad", share: interval{.1, .3}, duration: interval{.3, .5}},
	{name: "all-slow", description: "all hosts run slower at once", share: interval{1, 1}, magnitude: interval{1.6, 2.6}, duration: interval{.15, .3}},
	{name: "drain", description: "hosts drain, leave and are replaced", share: interval{.1, .25}, duration: interval{.2, .3}},
	{name: "burst", description: "more tasks come", magnitude: interval{1.7, 2.5}, duration: interval{.1, .25}},
	{name: "repeats", description: "clients try again at once, several times", magnitude: interval{3, 5}, duration: interval{.3, .6}},
	{name: "bad-requests", description: "some tasks fail wherever they run", magnitude: interval{.05, .2}, duration: interval{.3, .6}},
	{name: "list-down", description: "the host list is out of reach", duration: interval{.2, .5}},
	{name: "reports-late", description: "load reports and all that the desk tells are late", magnitude: interval{1, 4}, duration: interval{.4, .7}},
	{name: "desk-still", description: "the desk stands still; votes go unanswered, though some count", duration: interval{.15, .4}},
	{name: "desk-late", description: "the desk's news is late", magnitude: interval{2, 6}, duration: interval{.4, .8}},
	{name: "restarts", description: "routers are killed in batches and come back with nothing but their last list", share: interval{.25, .5}, duration: interval{.3, .6}},
	{name: "switch", description: "routers go over to other settings, with probes, peers and no copies at once, and back", duration: interval{.3, .5}},
	{name: "stand-still", description: "routers stand still for a moment", share: interval{.25, .5}, magnitude: interval{.1, .4}, duration: interval{.3, .5}},
}

// Kinds are the names and descriptions of what can be generated.
func Kinds() (names, descriptions []string) {
	for _, k := range kinds {
		names, descriptions = append(names, k.name), append(descriptions, k.description)
	}
	return append(names, "mixed"), append(descriptions, "a bad build, a good one, and three troubles that overlap")
}

// kindNames are the names of some kinds, those of builds apart from those of faults.
func kindNames(some []kind) (builds, faults []string) {
	for _, k := range some {
		if k.isBuild {
			builds = append(builds, k.name)
		} else {
			faults = append(faults, k.name)
		}
	}
	return builds, faults
}

func findKind(name string) (kind, error) {
	i := slices.IndexFunc(kinds, func(k kind) bool { return k.name == name })
	if i < 0 {
		return kind{}, fmt.Errorf("no kind of trouble is called %q; day --list names them", name)
	}
	return kinds[i], nil
}
