package node

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are read and dropped, or wait for seconds, while other clients hold all connections: those that
// say nothing make room at once, and those that stop in the middle of a request are refused.
func TestNode_ServesNewClientsWhileOthersHoldAllConnections(t *testing.T) {
	for name, text := range map[string]string{
		"silent":          "",
		"partial head":    "GET /api HTTP/1.1\r\nHost: s\r\n",
		"partial body":    "POST /api HTTP/1.1\r\nHost: s\r\nRequest-Class: pay\r\nContent-Length: 60000\r\n\r\nhi",
		"partial chunked": "POST /api HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhi",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startNode(t, newFakeHost(t, "a", respondOK))
			limits := r.node.config.Router.Downstream
			for range limits.MaxConnections + limits.RejectedConnections + 50 {
				_, _ = io.WriteString(r.connect(), text)
			}
			startedAt := time.Now()
			served := 0
			for time.Since(startedAt) < 2*time.Second && served < 10 {
				got, _ := r.request("GET", "quote", "")
				require.NotZero(t, got.status, "a connection was closed without a response")
				if got.status == 200 {
					served++
				}
			}
			require.Equal(t, 10, served)
			_, connections, _, _ := r.node.instance.InFlight()
			require.LessOrEqual(t, connections, limits.MaxConnections+limits.RejectedConnections)
		})
	}
}
