package control

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dapplefront/policy"
)

// The files replies-*.json were written by the program at commit 744ade3. They hold valid and invalid commands, the program's
// replies and its final state. They are never regenerated: when a later program replays a replicated log, it must give the
// same replies and the same state.

// storedReply is a reply in the form of the files. Release is the hex form of the first 8 bytes of the SHA-256 of the reply's
// release in JSON.
type storedReply struct {
	Code    int    `json:"code"`
	Field   string `json:"field"`
	Reason  string `json:"reason"`
	Number  uint64 `json:"number"`
	Release string `json:"release"`
}

// storedCodes are the codes of rejected commands in the files. Code 0 means accepted, code 1 repeated.
var storedCodes = map[error]int{ErrInvalid: 2, ErrNotFound: 3, ErrConflict: 4, ErrVersionMismatch: 5}

// applyStored applies a command and returns the result in the form of the files.
func applyStored(t *testing.T, s *State, index uint64, c Command) storedReply {
	t.Helper()
	reply, err := s.Apply(index, c)
	stored := storedReply{Number: reply.OrderNumber}
	var rejected *Error
	switch {
	case errors.As(err, &rejected):
		stored.Code, stored.Field, stored.Reason = storedCodes[rejected.Kind], rejected.Field, rejected.Reason
		require.NotZero(t, stored.Code, "%v", err)
	case reply.Repeated:
		stored.Code = 1
	}
	text, err := json.Marshal(reply.Release)
	require.NoError(t, err)
	sum := sha256.Sum256(text)
	stored.Release = hex.EncodeToString(sum[:8])
	return stored
}

func TestState_ReplaysCommandsOfEarlierVersionWithSameRepliesAndState(t *testing.T) {
	files, err := filepath.Glob("testdata/replies-*.json")
	require.NoError(t, err)
	require.Len(t, files, 3)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			var stored struct {
				Timed        bool `json:"timed"`
				FixedQuorums bool `json:"fixedQuorums"`
				Commands     []struct {
					Command Command `json:"command"`
					storedReply
				} `json:"commands"`
				State json.RawMessage `json:"state"`
			}
			require.NoError(t, json.Unmarshal(text, &stored))
			require.Len(t, stored.Commands, 150)
			config := config
			if stored.Timed {
				config.Rules.Mode, config.Rules.StageTime, config.Rules.HoldQuorum = policy.Timed, 3*policy.Second, 1
			}
			if stored.FixedQuorums {
				config.PromoteShare, config.RollbackShare, config.Rules.RollbackQuorum = 0, 0, 2
			}
			s := New(config, 1)
			for i, c := range stored.Commands {
				require.Equal(t, c.storedReply, applyStored(t, s, uint64(i+1), c.Command), "command %d: %+v", i, c.Command)
			}
			state, err := s.Save()
			require.NoError(t, err)
			require.Equal(t, string(stored.State), string(state))
		})
	}
}
