package release

import "dapplefront/policy"

// Input is an event that the machine handles: Offer, HostsReady, HostsRemoved, RollBack, Finalize, Tick or Vote.
type Input interface{ input() }

// Offer requests the release of a newer build. The machine returns Reject if the release can't start now.
type Offer struct{ Build int }

// HostsReady reports that all hosts requested by the last Deploy of the build are running.
type HostsReady struct{ Build int }

// HostsRemoved reports that all hosts covered by the Retire of the build have been removed.
type HostsRemoved struct{ Build int }

// RollBack rolls the newest build back without votes. The machine returns Reject if that is not possible.
type RollBack struct{ Build int }

// Finalize reports that an irreversible step is done: from now on the build can't be rolled back.
type Finalize struct{ Build int }

// Tick reports that time has passed.
type Tick struct{}

// Vote is a router's vote; it replaces the router's earlier one. The machine returns VoteResponse.
type Vote struct {
	Router       string
	Build, Stage int
	Choice       policy.VoteChoice
}

func (Offer) input()        {}
func (HostsReady) input()   {}
func (HostsRemoved) input() {}
func (RollBack) input()     {}
func (Finalize) input()     {}
func (Tick) input()         {}
func (Vote) input()         {}

// Effect is an action that the caller carries out: Deploy, Retire, Notify, VoteResponse or Reject.
type Effect interface{ effect() }

// Deploy requests that a share of the fleet's hosts run the build, in addition to the builds that already run there.
type Deploy struct {
	Build int
	Share float64 // from 0 to 1
}

// Retire requests that the build's hosts be drained and then stopped.
type Retire struct{ Build int }

// Notify requests that all routers be notified of the new status.
type Notify struct{ Status }

// VoteResponse is the response to the Vote that was handled.
type VoteResponse struct {
	Accepted bool
	Reason   string // why the vote does not count; empty if it was accepted
}

// Reject is the response to an Offer or RollBack that was rejected and changed nothing.
type Reject struct{ Reason string }

func (Deploy) effect()       {}
func (Retire) effect()       {}
func (Notify) effect()       {}
func (VoteResponse) effect() {}
func (Reject) effect()       {}
