package agent

// event triggers a transition of an instance to its next phase.
type event int

const (
	proceed event = iota // the goal allows the next step
	fetched
	verified
	ready
	warmedUp
	exited // the process has exited
	failed // an operation failed
	retire // the instance is to be removed from the host
	drained
	retry // a backoff has elapsed
)

// defaultCauses are the causes reported for events whose input has none.
var defaultCauses = map[event]string{
	proceed: "order", fetched: "all files are there", verified: "signatures and files are right",
	ready: "ready by its word and its probe", warmedUp: "warm", drained: "nothing new can come", retry: "pause over",
}

// transition is one row of the table in the package documentation.
type transition struct {
	from   Phase
	event  event
	to     Phase
	action func(*Machine, *Instance) // may override the phase; nil if there is nothing to do
}

var transitions = []transition{
	{Idle, proceed, Fetching, (*Machine).fetch},
	{Fetching, fetched, Verifying, (*Machine).verify},
	{Fetching, failed, Failed, (*Machine).cancel},
	{Fetching, retire, Removed, (*Machine).cancel},
	{Verifying, verified, Staged, nil},
	{Verifying, failed, Failed, (*Machine).cancel},
	{Verifying, retire, Removed, (*Machine).cancel},
	{Staged, proceed, Starting, (*Machine).start},
	{Staged, retire, Removed, nil},
	{Starting, ready, WarmingUp, (*Machine).publish},
	{Starting, exited, Starting, (*Machine).crash},
	{Starting, failed, Starting, (*Machine).crash},
	{Starting, retry, Starting, (*Machine).start},
	{Starting, retire, Stopping, (*Machine).stop},
	{WarmingUp, warmedUp, Serving, nil},
	{WarmingUp, exited, Starting, (*Machine).crashPublished},
	{WarmingUp, retire, Draining, (*Machine).drain},
	{Serving, exited, Starting, (*Machine).crashPublished},
	{Serving, retire, Draining, (*Machine).drain},
	{Draining, drained, Stopping, (*Machine).stop},
	{Draining, exited, Removed, (*Machine).unpublish},
	{Stopping, exited, Removed, (*Machine).unpublish},
	{Stopping, failed, Stopping, (*Machine).stop}, // a failed start may have left processes running
	{Failed, retire, Removed, nil},
}

// step applies the transition for an event, if the table has one. It reports every change of phase, failure and exit.
func (m *Machine) step(i *Instance, e event, cause string) {
	for _, t := range transitions {
		if t.from != i.Phase || t.event != e {
			continue
		}
		if cause == "" {
			cause = defaultCauses[e]
		}
		i.Phase = t.to
		ended := e == failed || e == exited
		if ended {
			i.Reason = cause
		}
		if t.action != nil {
			t.action(m, i)
		}
		if t.from != i.Phase || ended {
			i.PhaseSince = m.now
			m.emit(ReportTransition{i.Build, i.Digest, t.from, i.Phase, cause, m.now})
		}
		return
	}
}

func (m *Machine) fetch(i *Instance) {
	i.Verified = false
	m.emit(Fetch{i.Digest, i.AllowBelowMinVersion})
}

func (m *Machine) verify(i *Instance) { m.emit(Verify{i.Digest, i.AllowBelowMinVersion}) }
func (m *Machine) cancel(i *Instance) { m.emit(Cancel{i.Digest}) }
func (m *Machine) stop(i *Instance)   { m.emit(Stop{i.Digest}) }

func (m *Machine) start(i *Instance) {
	i.Process = Process{}
	m.emit(Start{i.Digest})
}

func (m *Machine) publish(i *Instance) {
	m.emit(PublishEndpoint{i.Digest, EndpointServing})
	m.emit(AwaitWarmUp{i.Digest})
}

func (m *Machine) unpublish(i *Instance) { m.emit(PublishEndpoint{i.Digest, EndpointRemoved}) }

func (m *Machine) drain(i *Instance) {
	m.emit(PublishEndpoint{i.Digest, EndpointDraining})
	m.emit(AwaitDrain{i.Digest})
}

// crashPublished handles the crash of an instance whose endpoint is published.
func (m *Machine) crashPublished(i *Instance) {
	m.unpublish(i)
	if m.now.Sub(i.PhaseSince) > m.limits.CrashResetAfter {
		i.Crashes = 0
	}
	m.crash(i)
}

// crash restarts a build after a backoff that doubles with each crash. An unreleased build with more than MaxCrashes
// crashes fails. A released build is restarted without limit, because no other build would serve in its place.
func (m *Machine) crash(i *Instance) {
	const maxDoublings = 16
	i.Crashes++
	i.Process = Process{}
	if i.Crashes > m.limits.MaxCrashes && !i.Released {
		i.Phase = Failed
		m.stop(i) // the build may have left processes running
		return
	}
	delay := m.limits.CrashBackoff << min(i.Crashes-1, maxDoublings)
	m.emit(Backoff{i.Digest, min(delay, m.limits.MaxCrashBackoff)})
}
