package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against input that counts as handled while it is unread, or while its reader is still processing it.
func TestWatchedConn_IsPendingUntilReaderAsksForMore(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	tcp, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	closed := false
	c, err := NewWatchedConn(tcp.(*net.TCPConn), func(*WatchedConn) { closed = true })
	require.NoError(t, err)
	peer, err := l.Accept()
	require.NoError(t, err)
	require.False(t, c.Pending(), "nothing has arrived")

	_, err = io.WriteString(peer, "hi")
	require.NoError(t, err)
	require.Eventually(t, c.Pending, 10*time.Second, time.Millisecond, "unread")
	buffer := make([]byte, 10)
	n, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, "hi", string(buffer[:n]))
	require.True(t, c.Pending(), "read and perhaps not processed")

	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(buffer)
		ended <- err
	}()
	require.Eventually(t, func() bool { return !c.Pending() }, 10*time.Second, time.Millisecond, "the reader waits for more")
	require.NoError(t, peer.Close())
	require.ErrorIs(t, <-ended, io.EOF)
	require.False(t, c.Pending())
	require.NoError(t, c.Close())
	require.True(t, closed)
	require.False(t, c.Pending())
}
