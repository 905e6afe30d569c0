package controller

import (
	"errors"
	"log/slog"
	"time"

	"dapplefront/control"
	"dapplefront/policy"
	"dapplefront/release"
)

// Standalone is a group of one controller with its REST interface, for small deployments and tests.
type Standalone struct {
	*Node
	*Server
}

// leadershipTimeout is how long StartStandalone waits to become leader.
const leadershipTimeout = 10 * time.Second

// StartStandalone starts a standalone controller and returns once it is the leader.
func StartStandalone(node NodeConfig, server ServerConfig, log *slog.Logger) (*Standalone, error) {
	node.Bootstrap = true
	n, err := Open(node, log)
	if err != nil {
		return nil, err
	}
	s, err := Serve(n, server, log)
	if err != nil {
		return nil, errors.Join(err, n.Close())
	}
	a := &Standalone{n, s}
	for end := time.Now().Add(leadershipTimeout); ; time.Sleep(time.Millisecond) {
		if isLeader, _ := n.IsLeader(); isLeader {
			return a, nil
		}
		if time.Now().After(end) {
			return nil, errors.Join(ErrNoLeader, a.Stop())
		}
	}
}

// Stop stops the REST interface and the node.
func (a *Standalone) Stop() error {
	a.Server.Close()
	return a.Node.Close()
}

// Handle proposes the command for an input of the release machine. For an input without a command of its own it proposes a Tick.
func (a *Standalone) Handle(in release.Input) (control.Reply, error) {
	switch in := in.(type) {
	case release.Offer:
		return a.Propose(control.Command{Kind: control.CreateRelease, Build: in.Build})
	case release.HostsReady:
		return a.Propose(control.Command{Kind: control.HostsReady, Build: in.Build})
	case release.HostsRemoved:
		return a.Propose(control.Command{Kind: control.HostsRemoved, Build: in.Build})
	case release.RollBack:
		return a.Propose(control.Command{Kind: control.RollBackRelease, Build: in.Build})
	case release.Vote:
		return a.Propose(control.Command{Kind: control.CastVote, Build: in.Build, Stage: in.Stage, Router: in.Router, Choice: in.Choice})
	}
	return a.Propose(control.Command{Kind: control.Tick})
}

// Status returns the status of the newest release.
func (a *Standalone) Status() (status release.Status) {
	a.Read(func(s *control.State, _ policy.Time) { status = s.Status() })
	return status
}
