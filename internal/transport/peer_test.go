package transport

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// unreadConn returns a connection whose session is busy with data that was read before, so that nothing more is read until
// proceed is called, and the peer's end of it.
func unreadConn(t *testing.T) (c *Conn, peer *net.TCPConn) {
	t.Helper()
	s := blockingSession{newRecordingSession(), make(chan bool, 100), make(chan bool)}
	c, conn := connectSession(t, s)
	_, err := conn.Write([]byte("request"))
	require.NoError(t, err)
	<-s.entered
	t.Cleanup(func() { close(s.proceed) })
	return c, conn.(*net.TCPConn)
}

// Guards against a peer's end that goes unnoticed while it has not been read, alone or behind other bytes.
func TestConn_PeerClosedSeesUnreadEnd(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"end": (*net.TCPConn).Close,
		"end behind unread bytes": func(peer *net.TCPConn) error {
			_, _ = io.WriteString(peer, "next request")
			return peer.Close()
		},
		"reset": func(peer *net.TCPConn) error {
			_ = peer.SetLinger(0)
			return peer.Close()
		},
		"reset behind unread bytes": func(peer *net.TCPConn) error {
			_, _ = io.WriteString(peer, "next request")
			time.Sleep(10 * time.Millisecond) // a reset drops bytes that have not left
			_ = peer.SetLinger(0)
			return peer.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, peer := unreadConn(t)
			require.False(t, c.PeerClosed(), "the peer is connected")
			require.NoError(t, end(peer))
			require.Eventually(t, c.PeerClosed, 10*time.Second, time.Millisecond)
		})
	}
}

func TestConn_PeerClosedIsFalseWhilePeerIsConnected(t *testing.T) {
	c, peer := unreadConn(t)
	require.False(t, c.PeerClosed())
	_, err := io.WriteString(peer, "next request")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !c.Quiet() }, 10*time.Second, time.Millisecond)
	require.False(t, c.PeerClosed())
	c.Close()
	require.True(t, c.PeerClosed(), "this side has closed the connection")
}

// Guards against a client that is taken for gone because a system call was interrupted or the kernel was short of memory.
func TestConn_PeerClosedIgnoresTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS} {
		t.Run(errno.Error(), func(t *testing.T) {
			c, peer := unreadConn(t)
			c.calls.peek = everySecondFails(errno, 1, peek)
			failed := false
			c.calls.poll = func(descriptors []unix.PollFd, timeoutMs int) (int, error) {
				if failed = !failed; failed {
					return -1, errno
				}
				return unix.Poll(descriptors, timeoutMs)
			}
			_, err := io.WriteString(peer, "next request")
			require.NoError(t, err)
			for range 10 {
				require.False(t, c.PeerClosed())
			}
			require.NoError(t, peer.Close())
			require.Eventually(t, c.PeerClosed, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against bytes that have arrived and are taken for processed, in the kernel or in the session.
func TestConn_UnreadReportsBytesThatWereNotProcessed(t *testing.T) {
	s := blockingSession{newRecordingSession(), make(chan bool, 100), make(chan bool)}
	c, peer := connectSession(t, s)
	require.False(t, c.Unread())
	_, err := io.WriteString(peer, "request")
	require.NoError(t, err)
	<-s.entered
	require.True(t, c.Unread(), "the session processes the bytes")
	_, err = io.WriteString(peer, "next request")
	require.NoError(t, err)
	close(s.proceed)
	require.Eventually(t, func() bool { return !c.Unread() }, 10*time.Second, time.Millisecond)
	require.NoError(t, peer.Close())
	require.Eventually(t, c.PeerClosed, 10*time.Second, time.Millisecond)
	require.False(t, c.Unread(), "the end of the stream is no input")
}
