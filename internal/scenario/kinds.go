package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of build or fault. For a fault it also gives the intervals from which its properties are drawn.
type kind struct {
	name, description string
	isBuild           bool // true for a kind of build, false for a kind of fault
	needsAgents       bool
	share             interval
	magnitude         interval
	duration          interval // as a share of the scenario's length
}

// interval holds the bounds between which a number is drawn.
type interval [2]float64

func (i interval) draw(r *rand.Rand) float64 { return i[0] + r.Float64()*(i[1]-i[0]) }

// drawFault draws share, magnitude, duration and start of a fault. The order must not change, so that a seed always gives the
// same fault.
func (k kind) drawFault(r *rand.Rand, length time.Duration) Fault {
	fault := Fault{Kind: k.name, Share: k.share.draw(r), Magnitude: k.magnitude.draw(r),
		Duration: time.Duration(k.duration.draw(r) * float64(length))}
	fault.At = time.Duration((.1 + .3*r.Float64()) * float64(length))
	return fault
}

// kinds lists all kinds. Scripts and the command line use their names; the command line prints their descriptions.
var kinds = []kind{
	{name: "good", description: "no fault; a good build is released", isBuild: true},
	{name: "bad-some", description: "a build fails a share of all requests", isBuild: true},
	{name: "bad-category", description: "a build fails most requests of one class", isBuild: true},
	{name: "bad-work", description: "a build needs more work for each request", isBuild: true},
	{name: "bad-late", description: "a build becomes slow and fails requests some seconds after its host starts", isBuild: true},
	{name: "bad-wrong", description: "a build returns wrong responses", isBuild: true},
	{name: "bad-slows-all", description: "a build slows all hosts in proportion to the traffic that it gets", isBuild: true},
	{name: "bad-bytes", description: "a mirror serves corrupted files of a build (requires agents)", isBuild: true, needsAgents: true},
	{name: "bad-signed", description: "a build lacks a signature (requires agents)", isBuild: true, needsAgents: true},
	{name: "die", description: "hosts crash at the same time and restart cold", share: interval{.08, .2}, duration: interval{.2, .4}},
	{name: "lose-place", description: "all hosts of a zone crash at the same time and restart cold much later", duration: interval{.3, .5}},
	{name: "cold-place", description: "all hosts of a zone restart cold at the same time", duration: interval{.01, .02}},
	{name: "hang", description: "hosts accept requests and answer none", share: interval{.05, .18}, duration: interval{.2, .4}},
	{name: "fail-fast", description: "hosts fail most requests quickly", share: interval{.05, .18}, magnitude: interval{.4, .8}, duration: interval{.2, .5}},
	{name: "slow", description: "hosts run several times slower", share: interval{.1, .23}, magnitude: interval{3, 9}, duration: interval{.3, .5}},
	{name: "pause", description: "hosts pause repeatedly for fractions of a second", share: interval{.2, .45}, duration: interval{.3, .6}},
	{name: "refuse", description: "hosts refuse new connections", share: interval{.1, .25}, duration: interval{.2, .4}},
	{name: "one-sided", description: "some hosts block the connections of one router", share: interval{.1, .3}, duration: interval{.3, .5}},
	{name: "all-slow", description: "all hosts run slower at the same time", share: interval{1, 1}, magnitude: interval{1.6, 2.6}, duration: interval{.15, .3}},
	{name: "drain", description: "hosts drain, stop and are replaced", share: interval{.1, .25}, duration: interval{.2, .3}},
	{name: "burst", description: "clients send more requests", magnitude: interval{1.7, 2.5}, duration: interval{.1, .25}},
	{name: "repeats", description: "clients retry immediately, several times", magnitude: interval{3, 5}, duration: interval{.3, .6}},
	{name: "bad-requests", description: "some requests fail, whichever host serves them", magnitude: interval{.05, .2}, duration: interval{.3, .6}},
	{name: "list-down", description: "endpoint discovery is unavailable", duration: interval{.2, .5}},
	{name: "reports-late", description: "load reports, release status and request counts are late", magnitude: interval{1, 4}, duration: interval{.4, .7}},
	{name: "desk-still", description: "the controllers answer no request; some votes count although they are unanswered", duration: interval{.15, .4}},
	{name: "desk-late", description: "release status and request counts are late", magnitude: interval{2, 6}, duration: interval{.4, .8}},
	{name: "restarts", description: "routers are killed in batches and restart with nothing but their cached endpoint list", share: interval{.25, .5}, duration: interval{.3, .6}},
	{name: "switch", description: "routers switch to a configuration with health checks and gossip but no hedged attempts, and back", duration: interval{.3, .5}},
	{name: "stand-still", description: "routers stall for fractions of a second", share: interval{.25, .5}, magnitude: interval{.1, .4}, duration: interval{.3, .5}},
}

// Kinds returns the names and descriptions of the kinds that Generate accepts.
func Kinds() (names, descriptions []string) {
	for _, k := range kinds {
		names, descriptions = append(names, k.name), append(descriptions, k.description)
	}
	return append(names, "mixed"), append(descriptions, "a bad build, a good one, and three faults that overlap")
}

// kindNames returns the names of the given kinds, separately for builds and faults.
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
		return kind{}, fmt.Errorf("unknown kind of build or fault %q; scenario --list names the kinds", name)
	}
	return kinds[i], nil
}
