package node

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that reach a host beyond its grace because its drain was written to the router while the process
// stood still, and is read only after the requests that arrived then.
func TestProcess_SendsNothingToHostThatBeganToDrainWhileItStoodStill(t *testing.T) {
	const clients, plays = 12, 5
	const grace = 300 * time.Millisecond
	draining, other := newFakeHost(t, "a", respondOK), newFakeHost(t, "b", respondOK)
	platform := newFakePlatform(t, draining.entry(), other.entry())
	router := startConfiguredProcess(t, configJSON(platform.address(), platform.address()))
	for play := range plays {
		platform.changes <- fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, 10+2*play, draining.entry())
		time.Sleep(200 * time.Millisecond)
		before := draining.requests.Load()
		var conns []*client
		for range clients {
			c, err := net.Dial("tcp", router.address)
			require.NoError(t, err)
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			conns = append(conns, &client{c, bufio.NewReader(c)})
		}
		send := func(name string) {
			for n, c := range conns {
				_, _ = fmt.Fprintf(c, "GET /api?x=1 HTTP/1.1\r\nHost: s\r\nRequest-Id: %s-%d-%d\r\nRequest-Class: quote\r\n"+
					"Request-Timeout-Ms: 900\r\n\r\n", name, play, n)
			}
			for _, c := range conns {
				require.Contains(t, []int{200, 503}, c.read().status)
			}
		}
		send("first")
		send("second")
		require.Greater(t, draining.requests.Load(), before)
		router.signal(syscall.SIGSTOP)
		platform.changes <- fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, 11+2*play,
			strings.Replace(draining.entry(), `"up"`, `"draining"`, 1))
		time.Sleep(grace + 200*time.Millisecond)
		before = draining.requests.Load()
		time.AfterFunc(50*time.Millisecond, func() { router.signal(syscall.SIGCONT) })
		send("after")
		require.Zero(t, draining.requests.Load()-before, "requests that reached the draining host")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}
