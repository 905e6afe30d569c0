package policy

// Times that a shutdown takes into account.
const (
	maxHoldUp        = 150 * Second / 1000 // how long a process may be held up, so that it notices or does something late
	responseWrite    = 50 * Second / 1000  // how long writing the last responses and reading them may take
	clientsNoticeIn  = 750 * Second / 1000 // how long clients may connect and send requests before they notice the shutdown
	beforeKillMargin = maxHoldUp + maxHoldUp + responseWrite
)

// ShutdownSchedule is when a router that shuts down does what. All times count from the router's handling of the shutdown
// signal.
type ShutdownSchedule struct {
	ServeUntil   Time // requests that arrive before are served as far as time permits; later ones are rejected
	LastResponse Time // requests that have no response yet are given up
	Kill         Time // the process may be killed, counted from the sending of the signal
}

// NewShutdownSchedule returns the schedule of a router whose process may be killed killAfter after the shutdown signal was
// sent. The process may be held up when the signal arrives, and again between the decision on the last responses and
// their writing.
func NewShutdownSchedule(killAfter Time) ShutdownSchedule {
	last := max(0, killAfter-beforeKillMargin)
	return ShutdownSchedule{ServeUntil: min(clientsNoticeIn, last), LastResponse: last, Kill: killAfter}
}

// shutdownState is the progress of a shutdown.
type shutdownState struct {
	started  bool
	deadline Time       // by when every request has its final response
	requests []*Request // that may lack their final response
}

// shutdownStep is what a timer of a shutdown does.
type shutdownStep int

const (
	noShutdownStep     shutdownStep = iota
	cancelUnsentStep                // end the attempts that have not been sent
	giveUpRequestsStep              // give up the requests that still have no response
)

// ShutdownStarted starts the shutdown of the router, whose process may be killed once killAfter has passed. requests are
// those without a final response, in the order of their arrival. From now on, no attempt is given more time than is left
// until ShutdownSchedule.LastResponse. At that time, each request without a final response gets one: it is rejected if it
// was never sent to a host, otherwise it fails. A second call can only bring that time forward.
func (r *Router) ShutdownStarted(now, killAfter Time, requests []*Request) {
	r.now = now
	s := &r.shutdown
	deadline := now + NewShutdownSchedule(killAfter).LastResponse
	if s.started && deadline >= s.deadline {
		return
	}
	if !s.started {
		s.requests = requests
	}
	s.started, s.deadline = true, deadline
	r.effects.SetTimer(deadline-now, &Timer{shutdown: cancelUnsentStep})
}

// shutdownTimerFired does a step of the shutdown. Attempts that have not been sent are ended first, so that the requests
// that were never sent to a host are known, and rejected, when the others are given up.
func (r *Router) shutdownTimerFired(step shutdownStep) {
	unanswered := r.shutdown.requests
	if step == cancelUnsentStep {
		for _, request := range unanswered {
			if !request.Answered() {
				r.effects.CancelUnsent(request)
			}
		}
		r.effects.SetTimer(0, &Timer{shutdown: giveUpRequestsStep})
		return
	}
	r.shutdown.requests = nil
	for _, request := range unanswered {
		if !request.Answered() {
			r.giveUpInFlight(request)
		}
	}
}

// giveUpInFlight gives up a request whose attempts in flight may be executed.
func (r *Router) giveUpInFlight(request *Request) {
	for _, attempt := range request.Attempts {
		if attempt.outcome == Pending && request.firstAmbiguous == nil {
			request.firstAmbiguous = attempt
		}
	}
	r.giveUp(request)
}

// isShutdownOver reports whether the time has come by which every request has its final response.
func (r *Router) isShutdownOver() bool { return r.shutdown.started && r.now >= r.shutdown.deadline }

// deadline is when the request's final response is due.
func (r *Router) deadline(request *Request) Time {
	due := request.arrivedAt + request.Timeout
	if r.shutdown.started {
		due = min(due, r.shutdown.deadline)
	}
	return due
}
