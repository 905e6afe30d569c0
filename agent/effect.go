package agent

import "time"

// Effect is an operation that the caller of Handle executes. Effects are idempotent: each may be executed twice.
type Effect interface{ effect() }

type (
	// Fetch fetches the manifest, its signatures and the files. Its outcome is Fetched or OperationFailed.
	Fetch struct {
		Digest               string
		AllowBelowMinVersion bool
	}
	// Verify verifies the signatures and all files, and installs the build. Its outcome is Verified or OperationFailed.
	Verify struct {
		Digest               string
		AllowBelowMinVersion bool
	}
	// Start starts the process. Its outcome is Started or OperationFailed. Ready, OperationFailed or Exited follows
	// Started.
	Start struct{ Digest string }
	// Adopt takes over a process that is already running. Exited follows when the process exits. For a build in the
	// Starting phase, it has the same outcomes as Start.
	Adopt struct{ Digest string }
	// PublishEndpoint reports the state of the instance's endpoint.
	PublishEndpoint struct {
		Digest string
		State  EndpointState
	}
	// AwaitWarmUp waits until the build has run for the warm-up time. Its outcome is WarmedUp.
	AwaitWarmUp struct{ Digest string }
	// AwaitDrain waits until no new requests can arrive. Its outcome is Drained.
	AwaitDrain struct{ Digest string }
	// Stop terminates the process, and kills it if it doesn't exit in time. Its outcome is Exited or OperationFailed,
	// even if no process is running.
	Stop struct{ Digest string }
	// Backoff waits for Delay before a crashed build is restarted. Its outcome is BackoffElapsed.
	Backoff struct {
		Digest string
		Delay  time.Duration
	}
	// Cancel cancels a fetch or verification in progress. It has no outcome.
	Cancel struct{ Digest string }
	// CollectGarbage removes the files of builds that have no instance in State.
	CollectGarbage struct{}
	// ReportTransition reports a change of phase, a failure or an exit to the controller.
	ReportTransition struct {
		Build    int
		Digest   string
		From, To Phase
		Cause    string
		At       time.Time
	}
)

func (Fetch) effect()            {}
func (Verify) effect()           {}
func (Start) effect()            {}
func (Adopt) effect()            {}
func (PublishEndpoint) effect()  {}
func (AwaitWarmUp) effect()      {}
func (AwaitDrain) effect()       {}
func (Stop) effect()             {}
func (Backoff) effect()          {}
func (Cancel) effect()           {}
func (CollectGarbage) effect()   {}
func (ReportTransition) effect() {}
