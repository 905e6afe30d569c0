// Package controller runs an instance of the release controller: control.State as the finite state machine of a Raft group
// (hashicorp/raft, stored in bbolt), and the REST interface in front of it. It decides nothing about releases.
//
// A Node is the instance's member of the Raft group. Changes go through Node.Propose on the leader: when it returns without
// an error, the log entry is on the disks of a majority and has been applied. Node.Read gives the local state, which on a
// follower may be behind by Node.ReplicationLag.
//
// A Server answers the REST interface (api/openapi.yaml) and the watch (api/asyncapi.yaml). Every request passes one
// middleware, which checks the caller's role, forwards to the leader what only the leader can answer, and answers errors as
// problem documents (RFC 9457).
//
// The store of an instance is the file log.db, with Raft's log, term and vote, and the directory snapshots. CheckStore,
// Export, Import and Repair work on a store that no instance uses.
package controller
