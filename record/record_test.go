package record

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/plan"
	"dapplefront/policy"
	"dapplefront/router"
)

var place = router.Config{Seed: 7, Routers: 3, Rank: 1, Zone: "north", Classes: []router.Class{
	{Name: "quote", LatencyObjective: 4000, PriorityWeight: 1}, {Name: "transfer", Idempotency: policy.NonIdempotent, LatencyObjective: 3000, PriorityWeight: 3}},
	Tenants: []router.Tenant{{Name: "Ada", QuotaPerSecond: 50}},
	Limits: policy.Limits{DrainGrace: policy.Second, WarmUp: 4 * policy.Second, ColdCapacity: .35, ColdOverloadFactor: 3, ColdOverloadWindow: 2 * policy.Second, PollInterval: 10 * policy.Second,
		MaxAttempts: 4, AllowHedging: true, MaxRetryAfter: 2 * policy.Second, CrossZonePrice: .02},
	Release: policy.ReleaseConfig{Mode: policy.Quorum, ExposureCaps: []float64{.05, .5, 1}, MinStageTime: policy.Second, PromoteQuorum: 2, RollbackQuorum: 1,
		VoteTTL: 8 * policy.Second, VoteTimeout: policy.Second, MaxVotesPerSecond: 30, ExposureWindow: 4 * policy.Second, ExposureAllowance: 2, GuardedStages: 1, StickyKeys: true}}

// live plays a router through drawn events for so many tasks and records all of it.
func live(t testing.TB, w *Writer, seed uint64, tasks int) {
	r := rand.New(rand.NewPCG(seed, 1))
	now := 1000 * policy.Second
	p := place
	p.Seed = seed
	mind, actions := router.New(now, p)
	require.NoError(t, w.WriteStart(now, p, actions))
	type end struct {
		at policy.Time
		e  router.Event
	}
	var ends []end
	var hear func(e router.Event)
	hear = func(e router.Event) {
		actions, err := mind.Handle(now, e, nil)
		if err != nil {
			actions = nil
		}
		require.NoError(t, w.WriteEvent(now, e, actions))
		for _, a := range actions {
			switch a.Kind {
			case router.SendAttempt:
				x := router.AttemptEnded{RequestID: a.RequestID, Attempt: a.Attempt, Outcome: policy.Succeeded, Latency: policy.Time(100 + r.IntN(900)), Done: true}
				if r.IntN(8) == 0 {
					x.Outcome, x.Done = policy.Outcome(1+r.IntN(8)), false
				}
				if r.IntN(2) == 0 {
					x.Load = &policy.LoadReport{ActiveRequests: float64(r.IntN(9)), QueuedRequests: -1, CPUUtilization: r.Float64(), MeanLatency: -1, RequestsPerSecond: 3}
				}
				ends = append(ends, end{now + x.Latency, x})
			case router.SetTimer:
				ends = append(ends, end{now + a.Duration, router.TimerFired{Timer: a.Timer}})
			case router.CastVote:
				ends = append(ends, end{now + 100, router.ReleaseChanged{Status: policy.ReleaseStatus{Build: a.Build, Stage: a.Stage, ExposureCap: .05, VoteResult: policy.VoteAccepted}}})
			}
		}
	}
	var hosts []router.Host
	for i := range 12 {
		hosts = append(hosts, router.Host{ID: uint32(i + 1), Zone: []string{"north", "south"}[i%2], Build: 1 + i/10, Weight: 1.25})
	}
	hear(router.EndpointsChanged{Complete: true, Hosts: hosts})
	hear(router.ReleaseChanged{Status: policy.ReleaseStatus{Build: 2, Phase: policy.Canary, ExposureCap: .05}})
	hear(router.PlanOffered{Offer: plan.Offered{Version: 1, ValidFor: time.Minute, LocalWeights: []plan.HostWeight{{Host: 1, Weight: 2}, {Host: 3, Weight: 1}}, RemoteWeights: []plan.HostWeight{{Host: 2, Weight: 1}}, CrossZoneShare: .1}})
	for i := range tasks {
		now += policy.Time(r.IntN(200)) // at times several events at one moment
		slices.SortStableFunc(ends, func(a, b end) int { return int(a.at - b.at) })
		for len(ends) > 0 && ends[0].at <= now {
			e := ends[0].e
			ends = ends[1:]
			hear(e)
		}
		hear(router.RequestArrived{RequestID: strconv.Itoa(i), Class: []string{"quote", "transfer"}[r.IntN(2)], Tenant: []string{"Ada", "Ben", ""}[r.IntN(3)],
			Key: fmt.Sprint("account-", r.IntN(20)), Timeout: 10_000, ClientRetry: r.IntN(9) == 0})
		switch r.IntN(60) {
		case 0:
			hear(router.ClientGone{RequestID: strconv.Itoa(i)})
		case 1:
			h := hosts[r.IntN(12)]
			h.State, h.StartedAt = policy.EndpointState(r.IntN(3)), now
			hear(router.EndpointsChanged{Hosts: []router.Host{h}})
		case 2:
			hear(router.StatsReported{Build: 2, Class: "quote", Failures: 1, Samples: 9, MeanLatency: 300, Window: 2 * policy.Second})
		case 3:
			hear(router.ComplaintReceived{Host: 11, Class: "quote", Age: 50})
		case 4:
			hear(router.EndpointsUnavailable{})
		case 5:
			hear(router.RequestArrived{RequestID: "x", Class: "none of these"}) // an error, and no action
		}
	}
}

func recorded(t testing.TB, tasks int, shelf Config) (string, []string) {
	shelf.Dir, shelf.Name = t.TempDir(), "r1"
	w, err := Create(shelf)
	require.NoError(t, err)
	live(t, w, 3, tasks)
	require.NoError(t, w.Close())
	files, err := Files(shelf.Dir, "r1")
	require.NoError(t, err)
	return shelf.Dir, files
}

func TestAReplayIsIdentical(t *testing.T) {
	_, files := recorded(t, 6000, Config{})
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Nil(t, r.First, "%v", r.First)
	require.Equal(t, 1, r.Starts)
	require.Greater(t, r.Actions, 6000)
	require.Empty(t, r.Gaps)
}

func TestADeliberateChangeIsFoundAndExplained(t *testing.T) {
	_, files := recorded(t, 500, Config{})
	dir := t.TempDir()
	w, err := Create(Config{Dir: dir, Name: "r1", Secret: []byte("s")})
	require.NoError(t, err)
	changed := ""
	f, err := os.Open(files[0])
	require.NoError(t, err)
	require.NoError(t, Read(f, func(e Entry) error {
		for i, a := range e.Actions { // as a module whose constant was another would have it: one task elsewhere
			if x, ok := e.Event.(router.RequestArrived); ok && a.Kind == router.SendAttempt && changed == "" && x.RequestID == "200" {
				e.Actions[i].Host, changed = a.Host%10+1, x.RequestID
			}
		}
		if e.Config != nil {
			return w.WriteStart(e.At, *e.Config, e.Actions)
		}
		return w.WriteEvent(e.At, e.Event, e.Actions)
	}))
	require.NoError(t, f.Close())
	require.NoError(t, w.Close())
	files, err = Files(dir, "r1")
	require.NoError(t, err)
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Equal(t, 1, r.Differences)
	text := r.First.String()
	require.Contains(t, text, "task 200 taken")
	require.Contains(t, text, "recorded: send 0 of task 200")
	require.Contains(t, text, "replayed: send 0 of task 200")
	require.Contains(t, text, "before it:")
	var life bytes.Buffer
	_, err = Replay(files, TraceRequest("200", &life))
	require.NoError(t, err)
	require.Contains(t, life.String(), "task 200 taken")
	require.Contains(t, life.String(), "send 0 of task 200")
}

func TestNeitherKeysNorCustomersStandInARecord(t *testing.T) {
	_, files := recorded(t, 300, Config{})
	f, err := os.Open(files[0])
	require.NoError(t, err)
	defer f.Close()
	keys := map[string]bool{}
	require.NoError(t, Read(f, func(e Entry) error {
		text := fmt.Sprintf("%+v %+v", e.Config, e.Event)
		require.NotContains(t, text, "Ada")
		require.NotContains(t, text, "account-")
		if x, ok := e.Event.(router.RequestArrived); ok && x.Key != "" {
			keys[x.Key] = true
		}
		return nil
	}))
	require.Len(t, keys, 20, "the same key is the same, others are others")
}

func TestDamageIsToldWhereItIs(t *testing.T) {
	_, files := recorded(t, 3000, Config{})
	whole, err := os.ReadFile(files[0])
	require.NoError(t, err)
	read := func(text []byte) (n int, err error) {
		err = Read(bytes.NewReader(text), func(Entry) error { n++; return nil })
		return n, err
	}
	all, err := read(whole)
	require.NoError(t, err)
	n, err := read(whole[:len(whole)*2/3])
	require.ErrorContains(t, err, "is cut")
	require.Positive(t, n, "what comes before is read")
	require.Less(t, n, all)
	flipped := slices.Clone(whole)
	flipped[len(flipped)/2] ^= 1
	_, err = read(flipped)
	require.ErrorContains(t, err, "checksum differs")
	newer := slices.Clone(whole)
	newer[len(magic)-2] = '2'
	_, err = read(newer)
	require.ErrorContains(t, err, "records of version '2'")
	_, err = read([]byte("something else"))
	require.ErrorContains(t, err, "no records")
	// A stream that goes on after damage: the rest waits for a router's start.
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a"), flipped, 0o600))
	_, next := recorded(t, 200, Config{})
	r, err := Replay([]string{filepath.Join(dir, "a"), next[0]}, nil)
	require.NoError(t, err)
	require.Equal(t, 2, r.Starts)
	require.Zero(t, r.Differences)
	require.Contains(t, r.Gaps[0], "checksum differs")
}

// stalled is a disk that stands still until it is let go.
type stalled struct {
	*os.File
	free chan struct{}
}

func (s stalled) Write(b []byte) (int, error) { <-s.free; return s.File.Write(b) }

func TestADiskThatStandsStillNeverHoldsATaskUp(t *testing.T) {
	free := make(chan struct{})
	dir := t.TempDir()
	w, err := Create(Config{Dir: dir, Name: "r1", OpenSink: func(f *os.File) Sink { return stalled{f, free} }})
	require.NoError(t, err)
	live(t, w, 3, 40_000) // more than the blocks that may wait
	require.Positive(t, w.Dropped(), "whole blocks were dropped")
	close(free)
	require.Eventually(t, func() bool { return len(w.blocks) == 0 }, 10*time.Second, time.Millisecond)
	live(t, w, 4, 500) // the router starts anew
	require.NoError(t, w.Close())
	files, err := Files(dir, "r1")
	require.NoError(t, err)
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, r.Differences)
	require.NotEmpty(t, r.Gaps)
	require.Contains(t, r.Gaps[0], "were dropped")
	require.Equal(t, 2, r.Starts)
}

func TestFilesRotateAndTheOldestGo(t *testing.T) {
	dir, files := recorded(t, 20_000, Config{MaxFileBytes: 100 << 10, MaxBytes: 400 << 10})
	require.Greater(t, len(files), 1)
	var sum int64
	for _, f := range files {
		s, err := os.Stat(f)
		require.NoError(t, err)
		sum += s.Size()
	}
	require.LessOrEqual(t, sum, int64(600<<10))
	r, err := Replay(files, nil)
	require.NoError(t, err)
	require.Zero(t, r.Differences)
	require.True(t, r.Starts == 1 || r.Skipped > 0, "the start is there, or nothing is compared")
	require.True(t, strings.HasPrefix(files[0], dir))
}

func FuzzRead(f *testing.F) {
	_, files := recorded(f, 50, Config{})
	whole, err := os.ReadFile(files[0])
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, text []byte) {
		_ = Read(bytes.NewReader(text), func(Entry) error { return nil })
	})
}

func FuzzEntry(f *testing.F) {
	b, err := appendEntry(nil, &Entry{Number: 1, At: 5, Event: router.RequestArrived{RequestID: "a", Key: "k"}, Actions: []router.Action{{Kind: router.SendAttempt, RequestID: "a"}}},
		func(s string) string { return s })
	require.NoError(f, err)
	f.Add([]byte(b))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := readEntry(text)
		if err != nil || e.Config != nil {
			return
		}
		b, err := appendEntry(nil, &e, func(s string) string { return s })
		require.NoError(t, err)
		again, err := readEntry(b)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("%+v", e), fmt.Sprintf("%+v", again))
	})
}

func BenchmarkHeard(b *testing.B) {
	w, err := Create(Config{Dir: b.TempDir(), Name: "r"})
	require.NoError(b, err)
	e := router.RequestArrived{RequestID: "1x", Class: "quote", Key: "account-1", Timeout: 10_000}
	actions := []router.Action{{Kind: router.SendAttempt, RequestID: "1x", Host: 7, Duration: 4000}, {Kind: router.SetTimer, Timer: 99, Duration: 800}}
	b.ReportAllocs()
	for b.Loop() {
		if err := w.WriteEvent(5, e, actions); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	require.NoError(b, w.Close())
	b.ReportMetric(float64(w.Written())/float64(b.N), "B/entry")
	b.ReportMetric(float64(w.Dropped())/float64(b.N), "lost/entry")
}
