package controller

import (
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"dapplefront/control"
	"dapplefront/policy"
)

// IsLeader reports whether this instance is the leader, and the leader's name as far as this instance knows it.
func (n *Node) IsLeader() (bool, string) {
	_, id := n.raft.LeaderWithID()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLeader, string(id)
}

// VerifyLeader returns nil once a majority has confirmed that this instance is the leader and this instance has applied all
// earlier committed entries. Otherwise it returns ErrNoLeader.
func (n *Node) VerifyLeader() error {
	if err := n.raft.VerifyLeader().Error(); err != nil {
		return ErrNoLeader
	}
	if err := n.raft.Barrier(readBarrierTimeout).Error(); err != nil {
		return ErrNoLeader
	}
	return nil
}

// ReplicationLag returns the time since this instance's last contact with its leader; 0 on the leader. The local state may
// lack changes made in that time, and changes that were in flight at the last contact.
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

// AddMember adds an instance to the group as a voter. The instance must be running, with an empty store. Only the leader can
// add members.
func (n *Node) AddMember(name, address string) error {
	return n.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(address), 0, membershipTimeout).Error()
}

// RemoveMember permanently removes an instance from the group. Only the leader can remove members.
func (n *Node) RemoveMember(name string) error {
	return n.raft.RemoveServer(raft.ServerID(name), 0, membershipTimeout).Error()
}

// Members returns the names of the group's instances, with the addresses at which they reach each other.
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

// TransferLeadership transfers the leadership to another instance, for example before a planned shutdown, and returns nil
// once this instance is no longer the leader. It retries a failed transfer, because a follower may be behind or may just have
// closed its connection; meanwhile this instance stays the leader. In a group of one it returns ErrOnlyInstance.
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
			return fmt.Errorf("transferring leadership: %w", err)
		case <-time.After(transferRetryDelay):
		}
	}
	if n.raft.State() != raft.Leader {
		return nil
	}
	return fmt.Errorf("transferring leadership: %d attempts failed: %w", transferAttempts, err)
}

// controllerURL returns the URL of an instance's REST interface, or "" if it is not known.
func (n *Node) controllerURL(name string) (url string) {
	n.Read(func(s *control.State, _ policy.Time) { url = s.ControllerURL(name) })
	return url
}
