package node

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent to a host after their client has closed its connection, where the end of the stream
// can't arrive because the bytes before it fill the receive window of a router that stood still.
func TestProcess_SendsNothingForClientThatClosedBehindUnreadBytes(t *testing.T) {
	const clients, plays = 12, 4
	const standstill = 400 * time.Millisecond
	for name, behind := range map[string]string{
		"bytes":    strings.Repeat("x", 8<<20),
		"requests": strings.Repeat("GET /api HTTP/1.1\r\nHost: s\r\nRequest-Id: x\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 900\r\n\r\n", 8<<20/100),
		"body":     "POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: 8000000\r\n\r\n" + strings.Repeat("x", 8<<20),
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var late []string
			serve := func(c net.Conn, q *http.Request, b []byte) bool {
				if id := q.Header.Get("Request-Id"); strings.HasPrefix(id, "gone") {
					mu.Lock()
					late = append(late, id)
					mu.Unlock()
				}
				return respondOK(c, q, b)
			}
			a, b := newFakeHost(t, "a", serve), newFakeHost(t, "b", serve)
			platform := newFakePlatform(t, a.entry(), b.entry())
			router := startConfiguredProcess(t, configJSON(platform.address(), platform.address()))
			for play := range plays {
				var all sync.WaitGroup
				router.signal(syscall.SIGSTOP)
				for n := range clients {
					all.Go(func() {
						c, err := net.Dial("tcp", router.address)
						if err != nil {
							return
						}
						_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // until then the kernel has taken what it can
						_, _ = fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: s\r\nRequest-Id: gone-%d-%d\r\nRequest-Class: quote\r\nRequest-Timeout-Ms: 900\r\n\r\n%s",
							play, n, behind)
						_ = c.Close()
					})
				}
				all.Wait()
				time.Sleep(standstill)
				router.signal(syscall.SIGCONT)
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, http.StatusOK, router.readiness())
			}
			mu.Lock()
			defer mu.Unlock()
			require.Empty(t, late, "requests that reached a host after their clients had gone")
		})
	}
}
