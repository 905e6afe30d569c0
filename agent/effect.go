package agent

import "time"

// Effect is something to be carried out. All of them may be carried out twice.
type Effect interface{ effect() }

type (
	// Fetch fetches the manifest, its signatures and the files. Fetched or OperationFailed follows.
	Fetch struct {
		Digest               string
		AllowBelowMinVersion bool
	}
	// Verify verifies the signatures and all files, and installs the build. Verified or OperationFailed follows.
	Verify struct {
		Digest               string
		AllowBelowMinVersion bool
	}
	// Start starts the process. Started or OperationFailed follows, then Ready or OperationFailed.
	Start struct{ Digest string }
	// Watch takes over a process that runs already. Ready and Exited follow as after Start.
	Watch struct{ Digest string }
	// PublishEndpoint reports the state of the instance's endpoint.
	PublishEndpoint struct {
		Digest string
		State  EndpointState
	}
	// AwaitWarmUp waits until the build has run for the warm-up time. WarmedUp follows.
	AwaitWarmUp struct{ Digest string }
	// AwaitDrain waits until no new requests can arrive. Drained follows.
	AwaitDrain struct{ Digest string }
	// Stop terminates the process, and kills it where it doesn't end in time. Exited or OperationFailed follows, also
	// where no process runs.
	Stop struct{ Digest string }
	// Backoff waits. BackoffElapsed follows.
	Backoff struct {
		Digest string
		Delay  time.Duration
	}
	// Cancel ends a fetch or verification under way; nothing follows.
	Cancel struct{ Digest string }
	// CollectGarbage removes the files of builds that State does not name.
	CollectGarbage struct{}
	// ReportTransition reports a change of phase or a failure.
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
func (Watch) effect()            {}
func (PublishEndpoint) effect()  {}
func (AwaitWarmUp) effect()      {}
func (AwaitDrain) effect()       {}
func (Stop) effect()             {}
func (Backoff) effect()          {}
func (Cancel) effect()           {}
func (CollectGarbage) effect()   {}
func (ReportTransition) effect() {}
