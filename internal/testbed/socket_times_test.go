package testbed

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// timedPair returns the two ends of a connection.
func timedPair(t *testing.T) (client, server *timedConn) {
	t.Helper()
	listener, err := net.Listen("tcp", anyLoopbackPort)
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	ends := make([]*timedConn, 0, 2)
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	for _, conn := range []net.Conn{dialed, accepted} {
		end, err := newTimedConn(conn.(*net.TCPConn))
		require.NoError(t, err)
		t.Cleanup(func() { _ = end.Close() })
		ends = append(ends, end)
	}
	return ends[0], ends[1]
}

// Guards against audit findings that count the time a client or a backend takes to read as delay of the router.
func TestTimedConn_ReportsKernelReceiveTime(t *testing.T) {
	client, server := timedPair(t)
	time.Sleep(50 * time.Millisecond) // the kernel starts to record times shortly after the first socket option is set
	before := time.Now()
	_, err := client.Write([]byte("request"))
	require.NoError(t, err)
	after := time.Now()
	time.Sleep(100 * time.Millisecond) // the reader is delayed
	b := make([]byte, 16)
	n, err := server.Read(b)
	require.NoError(t, err)
	require.Equal(t, "request", string(b[:n]))
	received := server.lastReceived()
	require.False(t, received.Before(before.Add(-time.Millisecond)), "%v before it was sent", before.Sub(received))
	require.False(t, received.After(after.Add(20*time.Millisecond)), "%v after it was sent", received.Sub(after))
}

func TestTimedConn_ReportsKernelSendTime(t *testing.T) {
	client, server := timedPair(t)
	earliest := time.Now()
	time.Sleep(50 * time.Millisecond) // the writer is delayed
	before := time.Now()
	_, err := client.Write([]byte("request"))
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // the query of the send time is delayed too
	sent := client.lastSent(earliest)
	require.False(t, sent.After(before), "%v after it was sent", sent.Sub(before))
	require.Less(t, before.Sub(sent), 4*kernelTick)
	require.Equal(t, before, client.lastSent(before), "the result is never before the earliest possible time")
	_, err = io.ReadFull(server, make([]byte, len("request")))
	require.NoError(t, err)
}

func TestTimedConn_ReportsEndOfConnection(t *testing.T) {
	client, server := timedPair(t)
	require.True(t, server.lastReceived().IsZero())
	require.NoError(t, server.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	_, err := server.Read(make([]byte, 1))
	require.True(t, isTimeout(err), "%v", err)
	require.NoError(t, server.SetReadDeadline(time.Time{}))
	require.NoError(t, client.Close())
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
