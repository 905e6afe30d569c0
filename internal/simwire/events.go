// Package simwire reads and writes the lines that the simulator and an adapter exchange, as the operators' page on the
// simulator's wire defines them. Like generated code, the types of this package keep that page's names, units and values;
// package simadapter maps them to the router's types. Times are in microseconds.
package simwire

import "dapplefront/internal/platformsettings"

// Batch holds the events that happened at one time.
type Batch struct {
	Now    int64 // the simulator's clock
	Number int64
	Events []Event
}

// Event is an event of one instance. Its body is one of the types below.
type Event struct {
	Instance int
	Body     any
}

// Launch is LAUNCH: an instance starts.
type Launch struct {
	Prng   uint64
	Params platformsettings.Values
}

// Entry is one entry of a LEDGER.
type Entry struct {
	Host             uint32
	Site, FamilyType string
	Cell             int64
	Mode             string // one of the Mode constants
	Release          int
	PowerHint        float64
	UpSinceUs        int64
}

// Modes of an entry.
const (
	ModeInService   = "in_service"
	ModeTerminating = "terminating"
	ModeTerminated  = "terminated"
)

// View is VIEW: a report of discovery.
type View struct {
	How     string // one of the View constants
	Entries []Entry
}

// Kinds of a view.
const (
	ViewChanges = "D" // the changed entries
	ViewFull    = "F" // the complete list
	ViewCached  = "C" // the complete list that the instance last had
	ViewFailed  = "X" // discovery failed; no entries
)

// Incoming is INCOMING: a request of a client.
type Incoming struct {
	Ticket, Qos, Owner, Resource string
	PatienceLeftUs, WorkHintUs   int64
	Marks                        int64 // bits, of the Mark constants
}

// Bits of Incoming.Marks.
const (
	MarkHint  = 1 // WorkHintUs is valid
	MarkRetry = 2 // the request is a client's retry
)

// AckFirst is ACK_FIRST: the response of an attempt has started.
type AckFirst struct {
	Ticket string
	N      int
}

// PhaseTold is PHASE_TOLD: the status of the newest build.
type PhaseTold struct {
	Image, Tranche, Standing int
	Asked                    bool   // whether this is the reply to a JUDGE
	Code                     string // one of the Code constants
	Allowed                  float64
	AgeUs                    int64
}

// CountsByBuild is COUNTS_BY_BUILD: the platform's statistics of a build and class.
type CountsByBuild struct {
	Image, Bad, Samples int
	RttUs               int64
	Qos                 string
	AgeUs               int64
}

// Kill is KILL: the instance has been killed.
type Kill struct{}

// Ended is ENDED: the end of an attempt.
type Ended struct {
	Ticket  string
	N       int
	Host    uint32
	Code    string // one of the Code constants
	RttUs   int64
	Done    bool
	Metrics []float64
}

// TimedOutClient is TIMED_OUT_CLIENT: the client has disconnected or its final response is overdue.
type TimedOutClient struct{ Ticket string }

// Due is DUE: a timer has fired.
type Due struct{ Mark int64 }

// BadAnswer is BAD_ANSWER: a client complains about a response.
type BadAnswer struct {
	Host  uint32
	Qos   string
	AgeUs int64
}

// FromPeer is FROM_PEER: a message from another instance.
type FromPeer struct {
	Author int
	Body   []byte
}

// HealthResult is HEALTH_RESULT: the result of a PING.
type HealthResult struct {
	RttUs   int64
	Code    string // one of the Code constants
	Host    uint32
	Metrics []float64
}

// Results of attempts, health checks and votes.
const (
	CodeServed         = "served"
	CodeServerError    = "server_error"
	CodeTurnedAway     = "turned_away"
	CodeNoAnswer       = "no_answer"
	CodeNoConnection   = "no_connection"
	CodeConnectionLost = "connection_lost"
	CodeCalledOff      = "called_off"
	CodeNotSent        = "not_sent"
)
