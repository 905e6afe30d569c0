package agent

// Input is an event that the state machine handles. All inputs but Order name an instance by the digest of its
// manifest; an input for an instance that no longer exists is ignored.
type Input interface{ input() }

type (
	// Order sets the controller's goal for a build. An order whose number is not above that of the last order is
	// ignored.
	Order struct {
		Number               uint64
		Digest               string // of the manifest
		Build                int
		Goal                 Goal
		AllowBelowMinVersion bool   // accept a version below the key ring's minimum version
		RollbackTo           string // with GoalRollback of the stable build: digest of its replacement; empty if there is none
		RollbackToBuild      int    // number of the build that RollbackTo names
	}
	// Fetched means that Fetch succeeded.
	Fetched struct{ Digest string }
	// Verified means that Verify succeeded.
	Verified struct{ Digest string }
	// OperationFailed means that a fetch, verification, start or stop failed, or that a build was not ready in time.
	OperationFailed struct{ Digest, Reason string }
	// Started means that the process is running.
	Started struct {
		Digest  string
		Process Process
	}
	// Ready means that the build has declared itself ready and passes its health check.
	Ready struct{ Digest string }
	// WarmedUp means that the build has run for the warm-up time.
	WarmedUp struct{ Digest string }
	// Exited means that the process has exited, either after Stop or without it.
	Exited struct{ Digest, Reason string }
	// Drained means that no new requests can reach the build.
	Drained struct{ Digest string }
	// BackoffElapsed means that a crashed build may be started again.
	BackoffElapsed struct{ Digest string }
)

func (Order) input()           {}
func (Fetched) input()         {}
func (Verified) input()        {}
func (OperationFailed) input() {}
func (Started) input()         {}
func (Ready) input()           {}
func (WarmedUp) input()        {}
func (Exited) input()          {}
func (Drained) input()         {}
func (BackoffElapsed) input()  {}
