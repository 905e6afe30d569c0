package controller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"dapplefront/control"
	"dapplefront/internal/api"
)

// startBenchmarkCluster starts a group of n nodes and returns its leader.
func startBenchmarkCluster(b *testing.B, n int) *Node {
	b.Helper()
	first, err := StartStandalone(NodeConfig{Name: "c1", Dir: b.TempDir(), Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1}, ServerConfig{Listen: "127.0.0.1:0"},
		slog.New(slog.DiscardHandler))
	require.NoError(b, err)
	b.Cleanup(func() { _ = first.Stop() })
	for i := 1; i < n; i++ {
		x, err := Open(NodeConfig{Name: fmt.Sprintf("c%d", i+1), Dir: b.TempDir(), Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1}, slog.New(slog.DiscardHandler))
		require.NoError(b, err)
		b.Cleanup(func() { _ = x.Close() })
		require.NoError(b, first.AddMember(x.config.Name, x.Address()))
	}
	return first.Node
}

// BenchmarkWrites compares the rate of accepted changes with the rate of plain bbolt writes that sync as often, with 4 and 32
// concurrent writers.
func BenchmarkWrites(b *testing.B) {
	writers := func(b *testing.B, n int, do func(i int64) error) {
		b.Helper()
		var next atomic.Int64
		b.SetParallelism(max(1, n/4)) // the number of goroutines is this multiple of GOMAXPROCS
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				if err := do(next.Add(1)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	for _, n := range []int{4, 32} {
		b.Run(fmt.Sprintf("bbolt/writers=%d", n), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "x.db"), 0o600, nil)
			require.NoError(b, err)
			defer func() { require.NoError(b, db.Close()) }()
			db.MaxBatchDelay = 500 * time.Microsecond // the default of 10 ms would dominate the result
			writers(b, n, func(i int64) error {
				return db.Batch(func(tx *bbolt.Tx) error {
					x, err := tx.CreateBucketIfNotExists([]byte("x"))
					if err != nil {
						return err
					}
					return x.Put(fmt.Append(nil, i), make([]byte, 150))
				})
			})
		})
		for _, nodes := range []int{1, 3} {
			b.Run(fmt.Sprintf("controllers=%d/writers=%d", nodes, n), func(b *testing.B) {
				node := startBenchmarkCluster(b, nodes)
				note := strings.Repeat("x", 60)
				b.ResetTimer()
				writers(b, n, func(int64) error {
					_, err := node.Propose(control.Command{Kind: control.PatchRelease, Build: 1, Note: &note})
					return err
				})
			})
		}
	}
}

// BenchmarkWatchers measures the throughput of events to many watchers, and the time from a change until the last watcher has
// received its event.
func BenchmarkWatchers(b *testing.B) {
	for _, n := range []int{1, 100, 2000} {
		b.Run(fmt.Sprintf("watchers=%d", n), func(b *testing.B) {
			a, err := StartStandalone(NodeConfig{Name: "c1", Dir: b.TempDir(), Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1},
				ServerConfig{Listen: "127.0.0.1:0", BookmarkInterval: time.Minute}, slog.New(slog.DiscardHandler))
			require.NoError(b, err)
			defer func() { _ = a.Stop() }()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			arrived := make(chan int64, 1<<20)
			var up sync.WaitGroup
			h := &http.Client{Transport: &http.Transport{}}
			for range n {
				up.Add(1)
				go func() {
					r, _ := http.NewRequestWithContext(ctx, http.MethodGet, a.URL()+"/v1/watch", nil)
					got, err := h.Do(r)
					if err != nil {
						return
					}
					defer func() { _ = got.Body.Close() }()
					in := bufio.NewScanner(got.Body)
					first := true
					for in.Scan() {
						if first {
							up.Done()
							first = false
						}
						if text, ok := strings.CutPrefix(in.Text(), "data: "); ok && strings.Contains(text, "samples") {
							var c api.Counts
							if json.Unmarshal([]byte(text), &c) == nil {
								arrived <- int64(c.Samples)
							}
						}
					}
				}()
			}
			up.Wait()
			var latencies []time.Duration
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				began := time.Now()
				body, _ := json.Marshal(api.Counts{Build: 1, Class: "c", Samples: i})
				_, err := a.Propose(control.Command{Kind: control.EmitEvent, Name: api.EventCounts, Body: body})
				require.NoError(b, err)
				for range n {
					<-arrived
				}
				latencies = append(latencies, time.Since(began))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "ms-to-last-p50")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "ms-to-last-p99")
			b.ReportMetric(float64(n*b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}

// BenchmarkRecovery measures the time from the start of an instance until it is leader, for several log lengths, with and
// without a snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("changes=%d/snapshot=%v", n, snapshot), func(b *testing.B) {
				dir := b.TempDir()
				config := NodeConfig{Name: "c1", Dir: dir, Listen: "127.0.0.1:0", FastElections: true, Control: testConfig, InitialBuild: 1}
				a, err := StartStandalone(config, ServerConfig{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
				require.NoError(b, err)
				var wait sync.WaitGroup
				for w := range 16 {
					wait.Go(func() {
						for i := w; i < n; i += 16 {
							note := fmt.Sprint(i)
							_, _ = a.Propose(control.Command{Kind: control.PatchRelease, Build: 1, Note: &note})
						}
					})
				}
				wait.Wait()
				if snapshot {
					require.NoError(b, a.raft.Snapshot().Error())
				}
				require.NoError(b, a.Stop())
				for b.Loop() {
					a, err := StartStandalone(config, ServerConfig{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
					require.NoError(b, err)
					b.StopTimer()
					require.NoError(b, a.Stop())
					b.StartTimer()
				}
			})
		}
	}
}
