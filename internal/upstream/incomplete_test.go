package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"dapplefront/policy"
)

// listenWithSmallBuffer returns a listener whose connections take few bytes that are not read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against a request whose last bytes reach a slow host after the attempt was canceled, when its client had gone.
func TestAttempt_CancelIncompleteKeepsRestFromSlowHost(t *testing.T) {
	for name, test := range map[string]struct {
		startsWhenComplete bool
		outcome            policy.Outcome
	}{
		"hosts start complete requests only": {true, policy.NotSent},
		"hosts may start incomplete ones":    {false, policy.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			r, host := newTestbench(t), listenWithSmallBuffer(t)
			protocol := *DefaultProtocol
			protocol.StartsWhenComplete = test.startsWhenComplete
			body := bytes.Repeat([]byte("x"), 64<<10)
			var attempt *Attempt
			ended := make(chan Result, 1)
			r.loop.Do(func() {
				r.pool.config.Protocol = &protocol
				r.pool.SetAddress(2, host.Addr().String())
				attempt = r.pool.Send(2, Request{Head: []byte("POST /x HTTP/1.1\r\nHost: h\r\n"), Body: body}, attemptTimeout,
					func(x Result) { ended <- x })
			})
			conn, err := host.Accept()
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				written := false
				r.loop.Do(func() { written = attempt.state == attemptWritten && attempt.conn.conn.Unsent() > 0 })
				return written
			}, 10*time.Second, time.Millisecond)
			r.loop.Do(attempt.CancelIncomplete)
			select {
			case result := <-ended:
				require.Equal(t, test.outcome, result.Outcome)
			case <-time.After(time.Second):
				t.Error("the attempt has not ended")
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			got, err := io.ReadAll(conn)
			require.ErrorIs(t, err, syscall.ECONNRESET)
			require.Less(t, len(got), len(body))
			r.loop.Do(func() { require.Zero(t, r.pool.Connections()) })
		})
	}
}

func TestAttempt_CancelIncompleteKeepsCompleteRequest(t *testing.T) {
	r := newTestbench(t)
	got := make(chan string, 1)
	var attempt *Attempt
	r.loop.Do(func() { attempt = r.send("x", got, nil) })
	request := <-r.requests
	r.loop.Do(attempt.CancelIncomplete)
	request.respond("x")
	require.Equal(t, "x", <-got)
}
