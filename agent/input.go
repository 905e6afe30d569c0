package agent

// Input is something that happened. All but Order name an instance by the digest of its manifest; one about an instance
// that no longer exists is ignored.
type Input interface{ input() }

type (
	// Order is what the controller wants of a build. An order whose number is not above the last one's is ignored.
	Order struct {
		Number               uint64
		Digest               string // of the manifest
		Build                int
		Goal                 Goal
		AllowBelowMinVersion bool   // for a build below the key ring's minimum version
		RollbackTo           string // with GoalRollback of the stable build: the digest of the one that replaces it
		RollbackToBuild      int    // its number
	}
	// Fetched says that Fetch succeeded.
	Fetched struct{ Digest string }
	// Verified says that Verify succeeded.
	Verified struct{ Digest string }
	// OperationFailed says that a fetch, verification, start or stop failed, or that a build was not ready in time.
	OperationFailed struct{ Digest, Reason string }
	// Started says that the process runs.
	Started struct {
		Digest  string
		Process Process
	}
	// Ready says that the build has declared itself ready and passes its health check.
	Ready struct{ Digest string }
	// WarmedUp says that the build has run for the warm-up time.
	WarmedUp struct{ Digest string }
	// Exited says that the process has ended, by itself or after Stop.
	Exited struct{ Digest, Reason string }
	// Drained says that no new requests can reach the build.
	Drained struct{ Digest string }
	// BackoffElapsed says that a crashed build may be started again.
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
