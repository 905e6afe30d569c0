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
	seat.First = true
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

// Hear takes in what happens to a release, as a command.
func (a *Standalone) Hear(in release.Input) (control.Reply, error) {
	switch in := in.(type) {
	case release.Offer:
		return a.Propose(control.Command{Do: control.Create, Build: in.Build})
	case release.Ready:
		return a.Propose(control.Command{Do: control.Ready, Build: in.Build})
	case release.Gone:
		return a.Propose(control.Command{Do: control.Gone, Build: in.Build})
	case release.Withdraw:
		return a.Propose(control.Command{Do: control.Withdraw, Build: in.Build})
	case release.Vote:
		return a.Propose(control.Command{Do: control.Vote, Build: in.Build, Stage: in.Stage, Router: in.Router, Voice: in.Voice})
	}
	return a.Propose(control.Command{Do: control.Tick})
}

// News is where the newest release stands.
func (a *Standalone) News() (n release.Status) {
	a.Read(func(s *control.State, _ policy.Time) { n = s.News() })
	return n
}
