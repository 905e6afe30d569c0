package downstream

import (
	"hash/maphash"

	"dapplefront/policy"
)

const (
	// executedIDTimeout is how long the id of a request is refused that may have run and whose client has no host's response.
	// No deadline is nearly as long, so that hosts no longer start such a request.
	executedIDTimeout = 30 * policy.Second

	// maxExecutedIDs bounds the memory for these ids, which clients choose. Beyond it, the oldest are forgotten.
	maxExecutedIDs = 8192
)

// idRegistry holds the ids that clients have given their requests and that other requests must not have. An id goes through
// these states:
//
//	state     entered                                                        another request with this id
//	free      at the start, and when executedIDTimeout has passed            accepted
//	open      when the request is accepted                                   refused
//	executed  when its last attempt has ended, if it may have run and its    refused
//	          client was not sent a host's response; otherwise it is free
type idRegistry struct {
	open     map[string]bool
	seed     maphash.Seed
	executed map[uint64]policy.Time // when each id was executed last, by its hash
	order    []executedID           // the oldest first
}

type executedID struct {
	hash uint64
	at   policy.Time
}

func newIDRegistry() *idRegistry {
	return &idRegistry{open: map[string]bool{}, seed: maphash.MakeSeed(), executed: map[uint64]policy.Time{}}
}

// isOpen reports whether a request with the id is open.
func (r *idRegistry) isOpen(id string) bool { return r.open[id] }

// mayHaveRun reports whether a request with the id may have run without its client being sent a host's response.
func (r *idRegistry) mayHaveRun(id string, now policy.Time) bool {
	r.forgetExecuted(now, maxExecutedIDs)
	_, found := r.executed[maphash.String(r.seed, id)]
	return found
}

// add makes a free id open.
func (r *idRegistry) add(id string) { r.open[id] = true }

// remove frees an open id or, if executed is true, makes it executed.
func (r *idRegistry) remove(id string, executed bool, now policy.Time) {
	delete(r.open, id)
	if !executed {
		return
	}
	r.forgetExecuted(now, maxExecutedIDs-1)
	hash := maphash.String(r.seed, id)
	r.executed[hash] = now
	r.order = append(r.order, executedID{hash, now})
}

// forgetExecuted frees the executed ids whose timeout has passed, and the oldest of those that exceed a number.
func (r *idRegistry) forgetExecuted(now policy.Time, most int) {
	n := 0
	for n < len(r.order) && (now-r.order[n].at > executedIDTimeout || len(r.order)-n > most) {
		if oldest := r.order[n]; r.executed[oldest.hash] == oldest.at {
			delete(r.executed, oldest.hash)
		}
		n++
	}
	r.order = r.order[n:]
}
