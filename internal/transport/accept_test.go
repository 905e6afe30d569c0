package transport

import (
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener is a listener whose Accept first returns the given errors.
type failingListener struct {
	*net.TCPListener
	mu     sync.Mutex
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		l.mu.Unlock()
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	l.mu.Unlock()
	return l.TCPListener.Accept()
}

func listen(t *testing.T, errors ...error) *failingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &failingListener{TCPListener: l.(*net.TCPListener), errors: errors}
}

// Guards against a listener that accepts nothing more after an error of accept(2) that concerns one connection or a moment.
func TestEngine_AcceptsAfterTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.ENONET, syscall.EOPNOTSUPP, syscall.ETIMEDOUT} {
		t.Run(errno.Error(), func(t *testing.T) {
			e, l, s := Start(), listen(t, errno, errno), newRecordingSession()
			t.Cleanup(e.Stop)
			failures := make(chan error, 10)
			e.Accept(l, func(*Conn) Session { return s }, func(err error) { failures <- err })
			peer, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = peer.Close() }()
			_, _ = peer.Write([]byte("hi"))
			require.Equal(t, "hi", string(receive(t, s.data)))
			require.ErrorIs(t, receive(t, failures), errno)
			require.Empty(t, failures, "consecutive failures are reported once")
		})
	}
}

// Guards against a reset of connections that the kernel has completed but the router has not accepted when it stops accepting.
func TestEngine_StopAcceptingServesBacklog(t *testing.T) {
	e := Start()
	t.Cleanup(e.Stop)
	sessions := make(chan *recordingSession, 3)
	l := listen(t, slices.Repeat([]error{syscall.ENFILE}, 1000)...)
	e.Accept(l, func(*Conn) Session {
		s := newRecordingSession()
		sessions <- s
		return s
	}, func(error) {})
	for range 3 {
		peer, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = peer.Close() }()
		_, _ = peer.Write([]byte("hi"))
	}
	require.Empty(t, sessions, "the listener accepts nothing yet")
	e.StopAccepting()
	for range 3 {
		require.Equal(t, "hi", string(receive(t, receive(t, sessions).data)))
	}
	_, err := net.Dial("tcp", l.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

// receive returns the next value of a channel, which must arrive within seconds.
func receive[T any](t *testing.T, from <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("nothing arrived within 10 s")
	}
	return value
}

// limitedEngine returns an engine that accepts at most two connections at once, its address, the sessions' connections, and the
// number of calls of makeRoom.
func limitedEngine(t *testing.T) (e *Engine, address string, accepted chan *Conn, roomAsked *atomic.Int64) {
	t.Helper()
	e, accepted, roomAsked = Start(), make(chan *Conn, 100), &atomic.Int64{}
	t.Cleanup(e.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.LimitAccepted(2, func() { roomAsked.Add(1) })
	e.Accept(l, func(c *Conn) Session { accepted <- c; return newRecordingSession() }, func(error) {})
	return e, l.Addr().String(), accepted, roomAsked
}

// Guards against more descriptors than the process may have: a connection beyond the limit waits until another has ended.
func TestEngine_AcceptsNoConnectionBeyondLimit(t *testing.T) {
	_, address, accepted, roomAsked := limitedEngine(t)
	dial := func() {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	time.Sleep(5 * roomInterval)
	require.Zero(t, roomAsked.Load(), "no connection waits")
	dial()
	require.Eventually(t, func() bool { return roomAsked.Load() > 1 }, 10*time.Second, time.Millisecond)
	require.Empty(t, accepted)
	first.Close()
	<-accepted
	asked := roomAsked.Load()
	time.Sleep(5 * roomInterval)
	require.LessOrEqual(t, roomAsked.Load(), asked+1, "no connection waits any more")
}

func TestEngine_StopsWhileLimitIsReached(t *testing.T) {
	for name, stop := range map[string]func(*Engine){"stop": (*Engine).Stop, "stop accepting": (*Engine).StopAccepting} {
		t.Run(name, func(t *testing.T) {
			e, address, accepted, roomAsked := limitedEngine(t)
			for range 3 {
				c, err := net.Dial("tcp", address)
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
			}
			<-accepted
			<-accepted
			require.Eventually(t, func() bool { return roomAsked.Load() > 0 }, 10*time.Second, time.Millisecond)
			stopped := make(chan struct{})
			go func() { stop(e); close(stopped) }()
			select {
			case <-stopped:
			case <-time.After(10 * time.Second):
				t.Fatal("the engine does not stop")
			}
		})
	}
}
