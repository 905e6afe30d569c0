package controller

import (
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"dapplefront/control"
	"dapplefront/policy"
)

// IsLeader tells whether this instance leads, and the leader's name as far as it knows.
func (n *Node) IsLeader() (bool, string) {
	_, id := n.raft.LeaderWithID()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLeader, string(id)
}

// VerifyLeader returns nil once a majority has confirmed that this instance leads and it has applied all that was committed
// before; otherwise ErrNoLeader.
func (n *Node) VerifyLeader() error {
	if err := n.raft.VerifyLeader().Error(); err != nil {
		return ErrNoLeader
	}
	if err := n.raft.Barrier(readBarrier).Error(); err != nil {
		return ErrNoLeader
	}
	return nil
}

// ReplicationLag is how long ago this instance heard of its leader; 0 on the leader. What it reads may be older than the
// newest state by as much and what was under way then.
func (n *Node) ReplicationLag() time.Duration {
	n.mu.Lock()
	isLeader := n.isLeader
	n.mu.Unlock()
	if isLeader {
		return 0
	}
	if at := n.raft.LastContact(); !at.IsZero() {
		return time.Since(at)
	}
	return time.Since(n.started)
}

// AddMember takes an instance into the group as a voter. It must run, with an empty store. Only the leader can.
func (n *Node) AddMember(name, address string) error {
	return n.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, membershipTimeout).Error()
}

// RemoveMember takes an instance out of the group for good. Only the leader can.
func (n *Node) RemoveMember(name string) error {
	return n.raft.RemoveServer(raft.ServerID(name), 0, membershipTimeout).Error()
}

// Members are the names of the group's instances, with their addresses for one another.
func (n *Node) Members() (map[string]string, error) {
	future := n.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, s := range future.Configuration().Servers {
		out[string(s.ID)] = string(s.Address)
	}
	return out, nil
}

// TransferLeadership hands the leadership to another instance, as before a planned end, and returns nil once this one
// does not lead any more. A transfer that fails is tried again, as a follower may be behind or may just have closed its
// connection; the leader goes on leading meanwhile. A group of one returns ErrOnlyInstance.
func (n *Node) TransferLeadership() error {
	var err error
	for range transferAttempts {
		if n.raft.State() != raft.Leader {
			return nil
		}
		configuration := n.raft.GetConfiguration()
		if configuration.Error() == nil && len(configuration.Configuration().Servers) == 1 {
			return ErrOnlyInstance
		}
		if err = n.raft.LeadershipTransfer().Error(); err == nil {
			return nil
		}
		select {
		case <-n.stop:
			return fmt.Errorf("transfer of leadership: %w", err)
		case <-time.After(transferRetryDelay):
		}
	}
	if n.raft.State() != raft.Leader {
		return nil
	}
	return fmt.Errorf("transfer of leadership: %d attempts: %w", transferAttempts, err)
}

// controllerURL is where an instance's REST interface is reached; "" where that is not known.
func (n *Node) controllerURL(name string) (url string) {
	n.Read(func(s *control.State, _ policy.Time) { url = s.ControllerURL(name) })
	return url
}
