package router

import (
	"dapplefront/logic"
	"dapplefront/plan"
)

// Event is something that a router hears of.
type Event interface{ event() }

type (
	// Taken is a task that has arrived; the router owes it one final answer. Task is an id never used before.
	Taken struct {
		Task     string
		Category string
		Customer string // a name from Place.Customers; others count as none
		Key      string // tasks that concern the same thing; empty for none
		Patience logic.Time
		Hint     logic.Time // expected work; 0 where not told
		Again    bool       // the client says that it tries again
	}
	// Ended is the end of send number Send of a task, counted from 0. Done tells that the task is over, by this
	// or already before it.
	Ended struct {
		Task string
		Send int
		Fate logic.Fate
		Took logic.Time
		Done bool
		Load *logic.Load // what the host reported with it, nil for nothing
	}
	// Began is the first byte of a streamed answer.
	Began struct {
		Task string
		Send int
	}
	// Left is a client that has gone; nothing is owed to it any more.
	Left struct{ Task string }
	// Listed is what the host list told: all of it (Whole) or what has changed.
	Listed struct {
		Whole bool
		Hosts []Host
	}
	// Unlisted is a watch or call of the host list that failed; the list held still applies.
	Unlisted struct{}
	// Told is the release desk's news, or its answer to a vote.
	Told struct{ News logic.News }
	// Counted is what the desk counted for a build and a category.
	Counted struct {
		Build        int
		Category     string
		Bad, Samples int
		Mean, Age    logic.Time
		Over         logic.Time // the span that was counted
	}
	// Complained is a client that found an answer wrong.
	Complained struct {
		Host     uint32
		Category string
		Age      logic.Time // since the send went out
	}
	// Due is an alarm that an Alarm action asked for.
	Due struct{ Alarm int64 }
	// Probed is what a probe of a host found.
	Probed struct {
		Host uint32
		Fate logic.Fate
		Took logic.Time
		Load *logic.Load
	}
	// Heard is a message from another router, by its rank.
	Heard struct {
		Peer int
		Body string
	}
	// Settled is other settings for a running router, whole. What can't change in one is an error and changes nothing.
	Settled struct{ Place Place }
	// Planned is a version of shares worked out ahead. A Heed action tells whether it is followed.
	Planned struct{ Offer plan.Offered }
)

func (Taken) event()      {}
func (Ended) event()      {}
func (Began) event()      {}
func (Left) event()       {}
func (Listed) event()     {}
func (Unlisted) event()   {}
func (Told) event()       {}
func (Counted) event()    {}
func (Complained) event() {}
func (Due) event()        {}
func (Probed) event()     {}
func (Heard) event()      {}
func (Settled) event()    {}
func (Planned) event()    {}

// Host is one line of the host list. ID must be the same at all routers, as they take turns by it.
type Host struct {
	ID       uint32
	Location string
	Cell     int
	Standing logic.Standing
	Build    int
	Size     float64
	Up       logic.Time // when its process started; 0 is long ago
}

// Deed is what an action asks for.
type Deed int

const (
	Send     Deed = iota // send Task to Host as its send number Send, and wait for Span
	TurnBack             // the final answer: trying again is harmless, best after Span
	Scrap                // the final answer: nothing is promised
	Alarm                // a Due event with the number Alarm after Span
	Watch                // ask for the host list and its changes
	Vote                 // Voice on Build at Stage
	Note                 // Text, for the log
	Tell                 // send Body to the router of rank Peer, or to all for logic.Everyone
	Probe                // probe Host
	Heed                 // the plan of this Number is followed, or turned down for the reason in Text
)

// Action is what a router wants done; which fields count depends on Do.
type Action struct {
	Do     Deed
	Task   string
	Send   int
	Host   uint32
	Span   logic.Time
	Alarm  int64
	Build  int
	Stage  int
	Voice  logic.Voice
	Text   string
	Number uint64
	Peer   int
	Body   string
	Copied bool // a Send beside another one, or alone, for judging the build on trial
}

// Place is all that a router is told when it starts.
type Place struct {
	Seed       uint64
	Routers    int // all that serve the fleet
	Rank       int // this one's number among them, from 0
	Location   string
	Categories []Category
	Customers  []Customer
	Limits     logic.Limits
	Desk       logic.Desk
}

// Category is a kind of task.
type Category struct {
	Name      string
	Repeat    logic.Repeat
	Group     logic.Group
	Memory    logic.Time // how long a group of hosts drops repeats
	Promised  logic.Time
	Earnings  float64
	LateShare float64 // share of the earnings left after the promised time
}

// Customer is whoever pays for tasks.
type Customer struct {
	Name      string
	PerSecond float64 // tasks a second, over all routers, that earn in full
}
