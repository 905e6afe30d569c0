package controller

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"dapplefront/internal/api"
)

// noteOperation is one operation on a release's note: a read, or a write with or without an expected version.
type noteOperation struct {
	write   bool
	value   string
	version uint64 // expected version for a write; 0 accepts any version
}

// noteResult is the result of a noteOperation.
type noteResult struct {
	value         string
	version       uint64
	indeterminate bool // the operation may or may not have been applied
	stale         bool // rejected because the expected version differed
}

// noteModel is the sequential specification that histories are checked against: a note whose version increases with each
// write.
var noteModel = porcupine.Model{
	Init: func() any { return noteResult{version: 1} },
	Step: func(state, in, out any) (bool, any) {
		s, i, o := state.(noteResult), in.(noteOperation), out.(noteResult)
		switch {
		case !i.write:
			return o.indeterminate || s.value == o.value && s.version == o.version, s
		case i.version != 0 && i.version != s.version:
			return o.stale || o.indeterminate, s
		case o.stale:
			return false, s
		}
		next := noteResult{value: i.value, version: s.version + 1}
		return o.indeterminate || o.version == next.version, next
	},
	Equal: func(a, b any) bool { return a == b },
}

// do sends an operation to an instance. made is false if the operation was certainly not applied, and for a read without a
// result. It is true for an indeterminate write, which may have been applied.
func (n noteOperation) do(h *http.Client, url string) (o noteResult, made bool) {
	method, path, body := "GET", "/v1/releases/1?fresh=1", ""
	if n.write {
		method, path, body = "PATCH", "/v1/releases/1", fmt.Sprintf(`{"note":%q}`, n.value)
	}
	r, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		return o, false
	}
	if n.version != 0 {
		r.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(n.version)))
	}
	got, err := h.Do(r)
	if err != nil {
		return noteResult{indeterminate: true}, n.write && !strings.Contains(err.Error(), "dial ")
	}
	defer func() { _ = got.Body.Close() }()
	text, _ := io.ReadAll(got.Body)
	switch got.StatusCode {
	case http.StatusOK:
		var x api.ReleaseObject
		if json.Unmarshal(text, &x) != nil {
			return noteResult{indeterminate: true}, n.write
		}
		return noteResult{value: x.Note, version: uint64(x.Version)}, true
	case http.StatusPreconditionFailed:
		return noteResult{stale: true}, true
	case http.StatusServiceUnavailable:
		return o, false
	}
	return noteResult{indeterminate: true}, n.write
}

// recordHistory runs clients that write and read while instances are stopped and restarted, and returns the clients' history.
func recordHistory(t *testing.T, seed uint64, duration time.Duration, prepare func(g *cluster)) []porcupine.Operation {
	t.Helper()
	g := startCluster(t, 3)
	if prepare != nil {
		prepare(g)
	}
	var mu sync.Mutex
	var all []porcupine.Operation
	began := time.Now()
	var wait sync.WaitGroup
	for c := range 5 {
		wait.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(c)))
			h := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
			defer h.CloseIdleConnections()
			var seen uint64
			for n := 0; time.Since(began) < duration; n++ {
				op := noteOperation{write: r.IntN(2) == 0, value: fmt.Sprintf("%d-%d", c, n)}
				if op.write && r.IntN(3) == 0 {
					op.version = seen
				}
				g.mu.Lock()
				url := g.urls[r.IntN(3)]
				g.mu.Unlock()
				call := time.Since(began)
				out, made := op.do(h, url)
				back := time.Since(began)
				if !made {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				if out.version > 0 {
					seen = out.version
				}
				if out.indeterminate {
					back = time.Hour // it may be applied at any later time
				}
				if out.indeterminate && !op.write {
					continue
				}
				mu.Lock()
				all = append(all, porcupine.Operation{ClientId: c, Input: op, Call: int64(call), Output: out, Return: int64(back)})
				mu.Unlock()
				time.Sleep(time.Duration(r.IntN(8)) * time.Millisecond)
			}
		})
	}
	r := rand.New(rand.NewPCG(seed, 99))
	for time.Since(began) < duration {
		time.Sleep(time.Duration(100+r.IntN(200)) * time.Millisecond)
		at := r.IntN(3)
		if r.IntN(2) == 0 {
			at = g.leader()
		}
		restart := g.stop(at)
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		restart()
	}
	wait.Wait()
	return all
}

// TestCluster_HistoriesAreLinearizable checks a few random histories. CONTROL_RUNS sets the number of histories and makes them
// differ between runs (docs/controller.md).
func TestCluster_HistoriesAreLinearizable(t *testing.T) {
	runs, seed := 3, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("CONTROL_RUNS")); err == nil {
		runs, seed = n, uint64(time.Now().UnixNano())
	}
	operations := 0
	for i := range runs {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			all := recordHistory(t, seed+uint64(i), 1500*time.Millisecond, nil)
			operations += len(all)
			require.NotEqual(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(noteModel, all, 20*time.Second), "seed %d", seed+uint64(i))
		})
	}
	t.Logf("%d runs, %d operations", runs, operations)
}

func TestNoteModel_RejectsStaleRead(t *testing.T) {
	op := func(c int, from, to int64, in noteOperation, out noteResult) porcupine.Operation {
		return porcupine.Operation{ClientId: c, Input: in, Call: from, Output: out, Return: to}
	}
	write := op(1, 0, 10, noteOperation{write: true, value: "a"}, noteResult{value: "a", version: 2})
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(noteModel, []porcupine.Operation{write,
		op(2, 5, 15, noteOperation{}, noteResult{version: 1})}, time.Second), "a read that overlaps the write may return the old value")
	require.Equal(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(noteModel, []porcupine.Operation{write,
		op(2, 11, 15, noteOperation{}, noteResult{version: 1})}, time.Second))
}
