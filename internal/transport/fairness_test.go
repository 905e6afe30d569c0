package transport

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// turnSession records the order in which connections are read. Each piece of data takes a while to process.
type turnSession struct {
	name  string
	start chan struct{}
	turns *turns
}

type turns struct {
	mu    sync.Mutex
	order []string
	bytes map[string]int
}

func (s *turnSession) Data(data []byte) {
	<-s.start
	for until := time.Now().Add(100 * time.Microsecond); time.Now().Before(until); {
	}
	s.turns.mu.Lock()
	s.turns.order = append(s.turns.order, s.name)
	s.turns.bytes[s.name] += len(data)
	s.turns.mu.Unlock()
}

func (s *turnSession) Closed(error) {}
func (s *turnSession) Wrote(int)    {}

// Guards against a client that sends at full speed and keeps the only processor from the connections of others.
func TestConn_ConnectionsWithUnreadDataTakeTurns(t *testing.T) {
	const size = 12 * readBufferSize
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	seen, start := &turns{bytes: map[string]int{}}, make(chan struct{})
	for _, name := range []string{"a", "b"} {
		c, peer := connectSession(t, &turnSession{name, start, seen})
		require.NoError(t, c.tcp.SetReadBuffer(2*size))
		go func() { _, _ = peer.Write(make([]byte, size)) }()
	}
	time.Sleep(100 * time.Millisecond) // until the kernel has the data
	close(start)
	complete := func() bool {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		return seen.bytes["a"] == size && seen.bytes["b"] == size
	}
	require.Eventually(t, complete, 10*time.Second, time.Millisecond)
	longest, run := 0, 0
	for n := 1; n < len(seen.order); n++ {
		if run++; seen.order[n] != seen.order[n-1] {
			longest, run = max(longest, run), 0
		}
	}
	require.LessOrEqual(t, longest, 4, "%v", seen.order)
}
