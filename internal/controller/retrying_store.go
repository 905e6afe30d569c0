package controller

import (
	"errors"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// storeRetryInterval is the pause before an operation of the store is repeated.
const storeRetryInterval = 50 * time.Millisecond

// storeRetrier repeats operations of the store for which the raft library ends the process when they fail: the disk may be
// full, or return errors, only for a while.
type storeRetrier struct {
	log  *slog.Logger
	stop <-chan struct{} // closed when the instance shuts down
}

// untilDone repeats an operation until it succeeds. Once the instance shuts down, it waits for ever after a failure, because
// the library would end the process; Node.Close returns ErrStillRunning then.
func (r storeRetrier) untilDone(name string, operation func() error) {
	for failures := 0; ; failures++ {
		err := operation()
		if err == nil {
			return
		}
		if failures == 0 {
			r.log.Error("the store does not work; trying again", "operation", name, "error", err)
		}
		select {
		case <-r.stop:
			select {}
		case <-time.After(storeRetryInterval):
		}
	}
}

// retryingStableStore is a stable store whose writes of numbers, such as the current term, succeed in the end.
type retryingStableStore struct {
	raft.StableStore
	storeRetrier
}

// SetUint64 implements raft.StableStore.
func (s retryingStableStore) SetUint64(key []byte, value uint64) error {
	s.untilDone("write term or vote", func() error { return s.StableStore.SetUint64(key, value) })
	return nil
}

// retryingLogStore is a log store whose reads succeed in the end, unless the entry does not exist.
type retryingLogStore struct {
	raft.LogStore
	storeRetrier
}

// GetLog implements raft.LogStore.
func (s retryingLogStore) GetLog(index uint64, log *raft.Log) (err error) {
	s.untilDone("read log entry", func() error {
		if err = s.LogStore.GetLog(index, log); errors.Is(err, raft.ErrLogNotFound) {
			return nil
		}
		return err
	})
	return err
}
