package controller

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/internal/controlclient"
	"dapplefront/policy"
	"dapplefront/release"
)

func TestControlClient_ReceivesStatusesAndVoteResults(t *testing.T) {
	hang := make(chan bool, 1)
	hangs := false
	a, err := StartStandalone(NodeConfig{Name: "c", Dir: t.TempDir(), Listen: "127.0.0.1:0", FastElections: true, InitialBuild: 1, Control: control.Config{
		Rules: release.Rules{Mode: policy.Quorum, PromoteQuorum: 2, RollbackQuorum: 1, VoteTTL: 5 * policy.Second, Stages: []release.Stage{{HostShare: .1, ExposureCap: .1}, {HostShare: 1, ExposureCap: 1}}}}},
		ServerConfig{Listen: "127.0.0.1:0", VotesPerSecond: 2, Fault: func() (time.Duration, bool) {
			select {
			case hangs = <-hang:
			default:
			}
			return 0, hangs
		}}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer func() { require.NoError(t, a.Stop()) }()
	statuses, complaints := make(chan policy.ReleaseStatus, 64), make(chan api.Complaint, 64)
	client := controlclient.Open([]string{"http://127.0.0.1:1", a.URL()}, "r1", "here", nil, time.Second, controlclient.Handler{Release: func(n policy.ReleaseStatus) { statuses <- n },
		Counts: func(api.Counts) {}, Complaint: func(c api.Complaint) { complaints <- c }, Failed: func(error) {}})
	defer client.Close()
	next := func() policy.ReleaseStatus {
		select {
		case n := <-statuses:
			return n
		case <-time.After(10 * time.Second):
			t.Fatal("no status received within 10 s")
			return policy.ReleaseStatus{}
		}
	}
	require.Equal(t, policy.Released, next().Phase)
	_, err = a.Handle(release.Offer{Build: 2})
	require.NoError(t, err)
	for next().ExposureCap != 0.1 { // the status is repeated with each bookmark
	}
	for i := range 30 {
		status, _, text := request(t, "POST", a.URL()+"/v1/complaints", `{"router":"r1","host":`+string(rune('0'+i%10))+`,"category":"quote","ageMs":0}`)
		require.Equal(t, 202, status, text)
	}
	for i := range 30 {
		select {
		case c := <-complaints:
			require.EqualValues(t, i%10, c.Host, "complaints must arrive once and in order")
		case <-time.After(20 * time.Second):
			t.Fatal("a complaint did not arrive within 20 s")
		}
	}
	vote := func(build, stage int, v policy.VoteChoice) policy.VoteResult {
		got := make(chan policy.ReleaseStatus, 1)
		client.Vote(build, stage, v, func(n policy.ReleaseStatus) { got <- n })
		return (<-got).VoteResult
	}
	require.Equal(t, policy.VoteAccepted, vote(2, 0, policy.Promote))
	require.Equal(t, policy.VoteStale, vote(2, 1, policy.Promote))
	require.Equal(t, policy.VoteStale, vote(1, 0, policy.Promote))
	seen := map[policy.VoteResult]bool{}
	for range 12 {
		seen[vote(2, 0, policy.Promote)] = true
	}
	require.True(t, seen[policy.VoteRejected], "votes above VotesPerSecond must be rejected")
	hang <- true
	time.Sleep(600 * time.Millisecond) // until the rate limit admits one more vote
	require.Contains(t, []policy.VoteResult{policy.VoteUnknown, policy.VoteRejected}, vote(2, 0, policy.Promote))
}
