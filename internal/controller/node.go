// Package controller runs the release controller: control's state behind a log that several instances hold (Raft, by
// hashicorp/raft), kept in bbolt, and the REST interface in front of it. It decides nothing about releases.
package controller

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"dapplefront/control"
	"dapplefront/policy"
)

// NodeConfig is one instance's place among the controllers.
type NodeConfig struct {
	Name        string // of its own among them
	Dir         string // of its store; nothing else may write there
	Listen      string // for the other controllers
	Bootstrap   bool   // starts a new group of one, where the store is empty
	Quick       bool   // short times, for loopback: a leader is missed after half a second
	Control     control.Config
	Build       int                                                                     // that serves when a group starts
	StreamLayer func(net.Listener) (raft.StreamLayer, error)                            // nil for plain TCP
	WrapStores  func(raft.LogStore, raft.StableStore) (raft.LogStore, raft.StableStore) // wraps the store, in tests
}

// Node is one running instance.
type Node struct {
	config    NodeConfig
	log       *slog.Logger
	raft      *raft.Raft
	bolt      *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	started   time.Time

	mu          sync.Mutex
	state       *control.State
	changed     chan struct{} // closed when the state changes
	broken      error         // the state can't be trusted any more
	leaderSince time.Time     // since when this instance leads, by its monotonic clock
	leaderClock policy.Time   // the controllers' time at that moment
	isLeader    bool

	stop chan struct{}
	done sync.WaitGroup
}

// ErrNoLeader says that a change can't be made now; nothing has been changed.
var ErrNoLeader = errors.New("no leader: the controllers can't reach each other, or are choosing one")

// ErrOutcomeUnknown says that a change may have been made or not.
var ErrOutcomeUnknown = errors.New("the leader was lost while the change was under way; it may have been made")

// Open starts an instance. A store that is damaged is refused with what was found.
func Open(seat NodeConfig, log *slog.Logger) (*Node, error) {
	if err := os.MkdirAll(seat.Dir, 0o700); err != nil {
		return nil, err
	}
	file := filepath.Join(seat.Dir, "log.db")
	if err := CheckStore(seat.Dir, seat.Control); err != nil {
		return nil, err
	}
	bolt, err := raftboltdb.New(raftboltdb.Options{Path: file, BoltOptions: &bbolt.Options{Timeout: time.Second}, MsgpackUseNewTimeFormat: true})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", file, err)
	}
	n := &Node{config: seat, log: log.With("controller", seat.Name), bolt: bolt, changed: make(chan struct{}), stop: make(chan struct{}),
		state: control.New(seat.Control, seat.Build), started: time.Now()}
	if err := n.start(); err != nil {
		_ = bolt.Close()
		return nil, err
	}
	n.done.Add(1)
	go n.tick()
	return n, nil
}

func (n *Node) start() error {
	snaps, err := raft.NewFileSnapshotStore(n.config.Dir, 2, io.Discard)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return err
	}
	streams := raft.StreamLayer(tcpStreamLayer{l})
	if n.config.StreamLayer != nil {
		if streams, err = n.config.StreamLayer(l); err != nil {
			_ = l.Close()
			return err
		}
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.config.Name)
	c.Logger = hclog.NewNullLogger()
	c.SnapshotThreshold, c.TrailingLogs = 4096, 1024
	if n.config.Quick { // loopback answers within a millisecond; these are hundreds of it
		c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = 300*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 5*time.Millisecond
	}
	n.transport = raft.NewNetworkTransport(streams, 4, 2*time.Second, io.Discard)
	logs, stable := raft.LogStore(n.bolt), raft.StableStore(n.bolt)
	if n.config.WrapStores != nil {
		logs, stable = n.config.WrapStores(logs, stable)
	}
	if n.config.Bootstrap {
		has, err := raft.HasExistingState(logs, stable, snaps)
		if err != nil {
			return err
		}
		if !has {
			if err := raft.BootstrapCluster(c, logs, stable, snaps, n.transport, raft.Configuration{Servers: []raft.Server{{ID: c.LocalID,
				Address: n.transport.LocalAddr()}}}); err != nil {
				return err
			}
		}
	}
	n.raft, err = raft.NewRaft(c, (*fsm)(n), logs, stable, snaps, n.transport)
	if err != nil {
		_ = n.transport.Close()
	}
	return err
}

// Address is where other controllers reach it.
func (n *Node) Address() string { return string(n.transport.LocalAddr()) }

// Close ends it; its store can be opened again.
func (n *Node) Close() error {
	close(n.stop)
	n.done.Wait()
	err := n.raft.Shutdown().Error()
	_ = n.transport.Close()
	return errors.Join(err, n.bolt.Close())
}

// ---- Changes ----

// Propose makes a change through the log: when it returns without an error, the change is on the disks of most instances.
func (n *Node) Propose(c control.Command) (control.Reply, error) {
	n.mu.Lock()
	if !n.isLeader {
		n.mu.Unlock()
		return control.Reply{}, ErrNoLeader
	}
	c.At = n.now()
	n.mu.Unlock()
	text, err := encodeEntry(c)
	if err != nil {
		return control.Reply{}, err
	}
	f := n.raft.Apply(text, time.Second)
	switch err := f.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return control.Reply{}, ErrNoLeader
	case err != nil:
		return control.Reply{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	result, ok := f.Response().(applyResult)
	if !ok {
		return control.Reply{}, fmt.Errorf("%w: %v", ErrOutcomeUnknown, f.Response())
	}
	return result.reply, result.err
}

// now is the controllers' time: what the state had when this instance began to lead, and what its monotonic clock has
// counted since. So a clock that is set never moves it. The lock is held.
func (n *Node) now() policy.Time {
	return n.leaderClock + policy.Time(time.Since(n.leaderSince)/(100*time.Microsecond))
}

// tick lets time pass where that would change something, and watches who leads.
func (n *Node) tick() {
	defer n.done.Done()
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-n.stop:
			return
		case lead := <-n.raft.LeaderCh():
			if lead {
				if err := n.raft.Barrier(5 * time.Second).Error(); err != nil {
					continue // it does not lead any more
				}
			}
			n.mu.Lock()
			n.isLeader, n.leaderSince, n.leaderClock = lead, time.Now(), n.state.Clock()
			n.wake()
			n.mu.Unlock()
			n.log.Info("leads", "leads", lead)
		case <-t.C:
			n.mu.Lock()
			due := n.isLeader && n.state.Due(n.now())
			n.mu.Unlock()
			if due {
				_, _ = n.Propose(control.Command{Kind: control.Tick})
			}
		}
	}
}

// ---- Reading ----

// Read calls f with the state as it is; f must not keep what it gets nor wait.
func (n *Node) Read(f func(s *control.State, now policy.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.state.Clock()
	if n.isLeader {
		now = n.now()
	}
	f(n.state, now)
}

// Changed is a channel that is closed when the state changes next.
func (n *Node) Changed() <-chan struct{} { n.mu.Lock(); defer n.mu.Unlock(); return n.changed }

// ReplicationLag is how long ago this instance heard of its leader: what it reads may be older than the newest by as much and
// what was under way then.
func (n *Node) ReplicationLag() time.Duration {
	n.mu.Lock()
	leads := n.isLeader
	n.mu.Unlock()
	if leads {
		return 0
	}
	if at := n.raft.LastContact(); !at.IsZero() {
		return time.Since(at)
	}
	return time.Since(n.started)
}

// VerifyLeader returns once this instance surely leads and has applied all that was accepted before.
func (n *Node) VerifyLeader() error {
	if err := n.raft.VerifyLeader().Error(); err != nil {
		return ErrNoLeader
	}
	if err := n.raft.Barrier(time.Second).Error(); err != nil {
		return ErrNoLeader
	}
	return nil
}

// IsLeader tells whether this instance leads, and the name of the one that does as far as it knows.
func (n *Node) IsLeader() (bool, string) {
	_, id := n.raft.LeaderWithID()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLeader, string(id)
}

// AddMember takes an instance in as a member; it must run, with an empty store. Remove takes one out.
func (n *Node) AddMember(name, address string) error {
	return n.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, 10*time.Second).Error()
}

// RemoveMember takes a member out for good.
func (n *Node) RemoveMember(name string) error {
	return n.raft.RemoveServer(raft.ServerID(name), 0, 10*time.Second).Error()
}

// Members are the names of the controllers, with where they reach each other.
func (n *Node) Members() (map[string]string, error) {
	f := n.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, s := range f.Configuration().Servers {
		out[string(s.ID)] = string(s.Address)
	}
	return out, nil
}

// TransferLeadership hands the lead to another, as before a planned end.
func (n *Node) TransferLeadership() error { return n.raft.LeadershipTransfer().Error() }

// wake tells all who wait for a change; the lock is held.
func (n *Node) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// ---- The log's side ----

// applyResult is what became of a command of the log.
type applyResult struct {
	reply control.Reply
	err   error
}

// fsm is what the log applies commands to.
type fsm Node

func (m *fsm) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := decodeEntry(l.Data)
	if err != nil {
		m.log.Error("an entry of the log is damaged", "index", l.Index, "error", err)
		return applyResult{err: &control.Error{Kind: control.ErrInvalid, Reason: err.Error()}} // the same on every instance that has it so
	}
	reply, err := m.state.Apply(l.Index, c)
	(*Node)(m).wake()
	return applyResult{reply, err}
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeEntry is a command as the log keeps it: a checksum, as neither bbolt nor the log's store have one for what they keep, and
// JSON.
func encodeEntry(c control.Command) ([]byte, error) {
	text, err := json.Marshal(c)
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, castagnoli)), text...), err
}

func decodeEntry(text []byte) (c control.Command, err error) {
	if len(text) < 4 || crc32.Checksum(text[4:], castagnoli) != binary.BigEndian.Uint32(text) {
		return c, errors.New("its checksum differs")
	}
	return c, json.Unmarshal(text[4:], &c)
}

func (m *fsm) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.state.Save()
	return fsmSnapshot(text), err
}

func (m *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s, err := control.Load(m.config.Control, text)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	(*Node)(m).wake()
	return nil
}

type fsmSnapshot []byte

func (p fsmSnapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(p); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (p fsmSnapshot) Release() {}

// tcpStreamLayer is TCP without TLS.
type tcpStreamLayer struct{ net.Listener }

func (tcpStreamLayer) Dial(a raft.ServerAddress, within time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(a), within)
}
