// Package controller runs an instance of the release controller: control.State as the finite state machine of a Raft group
// (hashicorp/raft, stored in bbolt), and a REST interface to it. All decisions about releases are made in package control.
//
// A Node is the instance's member of the Raft group. Node.Propose makes a change on the leader: when it returns without
// an error, the log entry is on the disks of a majority and has been applied. Node.Read reads the local state, which on a
// follower may be behind by Node.ReplicationLag.
//
// A Server serves the REST interface (api/openapi.yaml) and the watch (api/asyncapi.yaml). Every request passes through one
// middleware, which checks the caller's role, forwards requests that only the leader can serve, and returns errors as problem
// documents (RFC 9457).
//
// The store of an instance consists of the file log.db, with Raft's log, term and vote, and the directory snapshots.
// CheckStore, Export, Import and Repair work on a store that no running instance uses.
package controller
