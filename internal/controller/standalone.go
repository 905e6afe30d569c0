package controller

import (
	"errors"
	"log/slog"
	"time"

	"dapplefront/control"
	"dapplefront/policy"
	"dapplefront/release"
)

// Standalone is a group of one controller with its interface, as small places and tests have it.
type Standalone struct {
	*Node
	*Server
}

// StartStandalone starts one and returns once it leads.
func StartStandalone(seat NodeConfig, front ServerConfig, log *slog.Logger) (*Standalone, error) {
	seat.Bootstrap = true
	n, err := Open(seat, log)
	if err != nil {
		return nil, err
	}
	s, err := Serve(n, front, log)
	if err != nil {
		return nil, errors.Join(err, n.Close())
	}
	a := &Standalone{n, s}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if leads, _ := n.IsLeader(); leads {
			return a, nil
		}
		if time.Now().After(end) {
			return nil, errors.Join(ErrNoLeader, a.Stop())
		}
	}
}

// Stop ends both.
func (a *Standalone) Stop() error {
	a.Server.Close()
	return a.Node.Close()
}

// Handle takes in what happens to a release, as a command.
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

// Status is where the newest release stands.
func (a *Standalone) Status() (n release.Status) {
	a.Read(func(s *control.State, _ policy.Time) { n = s.Status() })
	return n
}
