package transport

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// everySecondFails returns a call of which every second one fails with the given error, and which transfers at most the
// given number of bytes at once.
func everySecondFails(errno syscall.Errno, most int, call func(int, []byte) (int, error)) func(int, []byte) (int, error) {
	var calls atomic.Int64
	return func(fd int, b []byte) (int, error) {
		if calls.Add(1)%2 == 1 {
			return -1, errno
		}
		return call(fd, b[:min(len(b), most)])
	}
}

// failingCalls returns system calls of which every second read and write fails with the given error, and which transfer at
// most the given number of bytes at once.
func failingCalls(errno syscall.Errno, most int) systemCalls {
	calls := defaultSystemCalls
	calls.read, calls.write = everySecondFails(errno, most, syscall.Read), everySecondFails(errno, most, syscall.Write)
	return calls
}

// Guards against bytes that are never read or written after a system call that fails for a moment or transfers a part.
func TestConn_TransfersAllDataDespiteTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			e, l := Start(), listen(t)
			t.Cleanup(e.Stop)
			e.calls = failingCalls(errno, 1000)
			s, conns := newRecordingSession(), make(chan *Conn, 1)
			e.Accept(l, func(c *Conn) Session { conns <- c; return s }, func(error) {})
			peer, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = peer.Close() }()
			request := bytes.Repeat([]byte("request "), 500)
			_, _ = peer.Write(request)
			var got []byte
			for len(got) < len(request) {
				got = append(got, receive(t, s.data)...)
			}
			require.Equal(t, request, got)
			c, response := receive(t, conns), bytes.Repeat([]byte("response"), 4000)
			_, err = c.Write(response[:100], response[100:])
			require.NoError(t, err)
			c.CloseWrite()
			got, err = io.ReadAll(peer)
			require.NoError(t, err)
			require.True(t, bytes.Equal(response, got))
		})
	}
}

// Guards against a connection that stays open after a write that failed, so that its session waits for ever.
func TestConn_ClosesAfterFailedWrite(t *testing.T) {
	e, l := Start(), listen(t)
	t.Cleanup(e.Stop)
	e.calls.write = func(int, []byte) (int, error) { return -1, syscall.EHOSTUNREACH }
	s, conns := newRecordingSession(), make(chan *Conn, 1)
	e.Accept(l, func(c *Conn) Session { conns <- c; return s }, func(error) {})
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	nothingSent, err := receive(t, conns).Write([]byte("response"), nil)
	require.True(t, nothingSent)
	require.ErrorIs(t, err, syscall.EHOSTUNREACH)
	require.Error(t, receive(t, s.closed))
}
