package controller

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"

	"dapplefront/control"
	"dapplefront/policy"
)

// NodeConfig configures one instance's member of the Raft group.
type NodeConfig struct {
	Name          string // unique name of this instance in the group
	Dir           string // directory of the store; nothing else may write there
	Listen        string // address for connections from other controllers
	Bootstrap     bool   // start a new group of one if the store is empty
	FastElections bool   // short timeouts for loopback: a lost leader is detected within half a second
	Control       control.Config
	InitialBuild  int                                                                     // build that serves when a new group starts
	StreamLayer   func(net.Listener) (raft.StreamLayer, error)                            // creates the connections between controllers; nil means plain TCP
	WrapStores    func(raft.LogStore, raft.StableStore) (raft.LogStore, raft.StableStore) // for fault injection in tests; nil means that the stores are not wrapped
}

const (
	snapshotThreshold = 4096 // log entries between snapshots
	trailingLogs      = 1024 // log entries kept after a snapshot, for followers that are behind
	snapshotsKept     = 2

	transportPool    = 4 // connections kept to each controller
	transportTimeout = 2 * time.Second

	enqueueTimeout           = time.Second            // for a change to enter the leader's queue
	readBarrierTimeout       = time.Second            // for the barrier in VerifyLeader
	leadershipBarrierTimeout = 5 * time.Second        // for a new leader to apply the entries that its predecessors committed
	membershipTimeout        = 10 * time.Second       // for a change of the group's configuration to enter the leader's queue
	tickInterval             = 50 * time.Millisecond  // between the leader's checks whether changes are due with time
	clockUnit                = 100 * time.Microsecond // the unit of policy.Time

	transferAttempts   = 5
	transferRetryDelay = 100 * time.Millisecond

	shutdownTimeout = 10 * time.Second // for the raft library to shut down; several times its longest wait
)

// Errors of changes and of reads from the leader.
var (
	// ErrNoLeader means that a change can't be made now; nothing has been changed.
	ErrNoLeader = errors.New("no leader: the controllers can't reach each other, or are choosing one")
	// ErrOutcomeUnknown means that a change may or may not have been made.
	ErrOutcomeUnknown = errors.New("the leader was lost while the change was under way; it may have been made")
	// ErrOnlyInstance means that the group has no other instance that could become leader.
	ErrOnlyInstance = errors.New("no other instance to lead")
	// ErrStillRunning means that the raft library did not shut down in time: its goroutines still run and its store stays open.
	ErrStillRunning = errors.New("the raft library is still running and its store is left open")
)

// Node is one running member of the Raft group. It is safe for concurrent use.
type Node struct {
	config    NodeConfig
	log       *slog.Logger
	raft      *raft.Raft
	bolt      *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	started   time.Time

	mu          sync.Mutex
	state       *control.State
	changed     chan struct{} // closed when the state or this instance's leadership changes
	isLeader    bool
	leaderSince time.Time   // when this instance became leader, with the monotonic clock reading
	leaderClock policy.Time // the controllers' time at leaderSince

	stop chan struct{}
	done sync.WaitGroup
}

// Open starts an instance. For a damaged store it returns an error that describes the damage.
func Open(config NodeConfig, log *slog.Logger) (*Node, error) {
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	if err := CheckStore(config.Dir, config.Control); err != nil {
		return nil, err
	}
	bolt, err := openLogStore(logFile(config.Dir), &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, err
	}
	n := &Node{config: config, log: log.With("controller", config.Name), bolt: bolt, changed: make(chan struct{}), stop: make(chan struct{}),
		state: control.New(config.Control, config.InitialBuild), started: time.Now()}
	if err := n.startRaft(); err != nil {
		return nil, errors.Join(err, bolt.Close())
	}
	n.done.Go(n.run)
	return n, nil
}

func (n *Node) startRaft() error {
	snapshots, err := raft.NewFileSnapshotStore(n.config.Dir, snapshotsKept, io.Discard)
	if err != nil {
		return err
	}
	streams, err := n.listen()
	if err != nil {
		return err
	}
	n.transport = raft.NewNetworkTransport(streams, transportPool, transportTimeout, io.Discard)
	logs, stable := raft.LogStore(n.bolt), raft.StableStore(n.bolt)
	if n.config.WrapStores != nil {
		logs, stable = n.config.WrapStores(logs, stable)
	}
	retrier := storeRetrier{n.log, n.stop}
	logs, stable = retryingLogStore{logs, retrier}, retryingStableStore{stable, retrier}
	c := n.raftConfig()
	if n.config.Bootstrap {
		if err := n.bootstrap(c, logs, stable, snapshots); err != nil {
			return err
		}
	}
	n.raft, err = raft.NewRaft(c, fsm{n}, logs, stable, snapshots, raftTransport{n.transport})
	if err != nil {
		return errors.Join(err, n.transport.Close())
	}
	return nil
}

func (n *Node) listen() (raft.StreamLayer, error) {
	l, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return nil, err
	}
	if n.config.StreamLayer == nil {
		return tcpStreamLayer{l}, nil
	}
	streams, err := n.config.StreamLayer(l)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return streams, nil
}

func (n *Node) raftConfig() *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.config.Name)
	c.Logger = hclog.NewNullLogger()
	c.SnapshotThreshold, c.TrailingLogs = snapshotThreshold, trailingLogs
	if n.config.FastElections { // loopback responds within a millisecond; these timeouts are hundreds of times that
		c.HeartbeatTimeout, c.ElectionTimeout = 300*time.Millisecond, 300*time.Millisecond
		c.LeaderLeaseTimeout, c.CommitTimeout = 200*time.Millisecond, 5*time.Millisecond
	}
	return c
}

// bootstrap starts a group with this instance as its only member, unless its store already belongs to a group.
func (n *Node) bootstrap(c *raft.Config, logs raft.LogStore, stable raft.StableStore, snapshots raft.SnapshotStore) error {
	exists, err := raft.HasExistingState(logs, stable, snapshots)
	if err != nil || exists {
		return err
	}
	self := raft.Server{ID: c.LocalID, Address: n.transport.LocalAddr()}
	return raft.BootstrapCluster(c, logs, stable, snapshots, n.transport, raft.Configuration{Servers: []raft.Server{self}})
}

// Address returns the address at which other controllers reach this instance.
func (n *Node) Address() string { return string(n.transport.LocalAddr()) }

// Close shuts the instance down and waits until that is done, but no longer than shutdownTimeout. Afterwards the store can be
// opened again, unless Close returned ErrStillRunning.
func (n *Node) Close() error { return n.closeWithin(shutdownTimeout) }

// closeWithin shuts the instance down. The shutdown of the raft library begins first, because the instance's own goroutine may
// be waiting for the library. The store stays open while the library runs, because the library ends the process if it can't
// write to the store.
func (n *Node) closeWithin(timeout time.Duration) error {
	close(n.stop)
	shutdown := n.raft.Shutdown()
	ended := make(chan error, 1)
	go func() {
		n.done.Wait()
		ended <- shutdown.Error()
	}()
	select {
	case err := <-ended:
		return errors.Join(err, n.transport.Close(), n.bolt.Close())
	case <-time.After(timeout):
		return errors.Join(fmt.Errorf("%w: no shutdown within %v", ErrStillRunning, timeout), n.transport.Close())
	}
}

// Propose makes a change through the log. When it returns without an error, the change is on the disks of a majority and
// has been applied. The error is ErrNoLeader, wraps ErrOutcomeUnknown, or is a *control.Error for a command that was
// rejected.
func (n *Node) Propose(c control.Command) (control.Reply, error) {
	n.mu.Lock()
	if !n.isLeader {
		n.mu.Unlock()
		return control.Reply{}, ErrNoLeader
	}
	c.At = n.clock()
	n.mu.Unlock()
	entry, err := encodeEntry(c)
	if err != nil {
		return control.Reply{}, err
	}
	future := n.raft.Apply(entry, enqueueTimeout)
	switch err := future.Error(); {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return control.Reply{}, ErrNoLeader
	case err != nil:
		return control.Reply{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	result, ok := future.Response().(applyResult)
	if !ok {
		return control.Reply{}, fmt.Errorf("%w: %v", ErrOutcomeUnknown, future.Response())
	}
	return result.reply, result.err
}

// clock returns the controllers' time on the leader: the state's time when this instance became leader, plus the time since
// then on the monotonic clock, so that setting the machine's clock does not change it. The caller holds the lock.
func (n *Node) clock() policy.Time {
	return n.leaderClock + policy.Time(time.Since(n.leaderSince)/clockUnit)
}

// run handles changes of leadership and, on the leader, proposes a Tick whenever changes are due with time.
func (n *Node) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case isLeader := <-n.raft.LeaderCh():
			n.leadershipChanged(isLeader)
		case <-ticker.C:
			n.mu.Lock()
			due := n.isLeader && n.state.Due(n.clock())
			n.mu.Unlock()
			if due {
				_, _ = n.Propose(control.Command{Kind: control.Tick}) // on failure, the next tick or the next leader retries
			}
		}
	}
}

func (n *Node) leadershipChanged(isLeader bool) {
	if isLeader && n.raft.Barrier(leadershipBarrierTimeout).Error() != nil {
		return // the leadership has been lost again
	}
	n.mu.Lock()
	n.isLeader, n.leaderSince, n.leaderClock = isLeader, time.Now(), n.state.Clock()
	n.notifyChanged()
	n.mu.Unlock()
	n.log.Info("leadership changed", "leads", isLeader)
}

// Read calls f with the state and the controllers' time, which on a follower is that of the latest command. f must neither
// retain the state nor block.
func (n *Node) Read(f func(s *control.State, now policy.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.state.Clock()
	if n.isLeader {
		now = n.clock()
	}
	f(n.state, now)
}

// Changed returns a channel that is closed at the next change of the state or of this instance's leadership.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notifyChanged closes the channel that Changed returned. The caller holds the lock.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}
