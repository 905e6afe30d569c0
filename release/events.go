package release

import "dapplefront/policy"

// Input is something that happened: Offer, HostsReady, HostsRemoved, RollBack, Finalize, Tick or Vote.
type Input interface{ input() }

// Offer asks for the release of a newer build. It is answered by Reject where it can't start now.
type Offer struct{ Build int }

// HostsReady says that all hosts that the last Deploy of the build asked for run.
type HostsReady struct{ Build int }

// HostsRemoved says that all hosts that Retire named are gone.
type HostsRemoved struct{ Build int }

// RollBack rolls the newest build back without votes. It is answered by Reject where that is not possible.
type RollBack struct{ Build int }

// Finalize says that something irreversible has been done: from now on the build can't be rolled back.
type Finalize struct{ Build int }

// Tick says that time has passed.
type Tick struct{}

// Vote is a router's vote; it replaces the router's earlier one. It is answered by VoteAnswer.
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

// Effect is something for the caller to do: Deploy, Retire, Notify, VoteAnswer or Reject.
type Effect interface{ effect() }

// Deploy asks for the build on a share of the fleet's hosts, beside what runs there.
type Deploy struct {
	Build int
	Share float64 // from 0 to 1
}

// Retire asks to drain the build's hosts and then to end them.
type Retire struct{ Build int }

// Notify tells all routers the new status.
type Notify struct{ Status }

// VoteAnswer answers the Vote that was handled.
type VoteAnswer struct {
	Accepted bool
	Reason   string // why it does not count; empty where it does
}

// Reject answers the Offer or RollBack that was handled: it changed nothing.
type Reject struct{ Reason string }

func (Deploy) effect()     {}
func (Retire) effect()     {}
func (Notify) effect()     {}
func (VoteAnswer) effect() {}
func (Reject) effect()     {}
