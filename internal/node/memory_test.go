package node

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What a router holds by its plan fits into its limit, with the files of its program.
func TestPlanMemory_FitsIntoLimit(t *testing.T) {
	const files = 12 * mib // dapplefront-node with the C library
	for _, limitMB := range []int{minMemoryMB, 32, 48, 64, 128, 192, 2048} {
		limit := limitMB * mib
		plan := planMemory(limit, files)
		require.LessOrEqual(t, plan.runtime+files+kernelMemory, limit, "%d MB", limitMB)
		require.LessOrEqual(t, baseHeap+plan.messages+plan.connections*connectionMemory, plan.runtime, "%d MB", limitMB)
		require.GreaterOrEqual(t, plan.messages, minMessageMemory)
		require.Greater(t, plan.messages, 2*maxRequestBodyBytes)
		require.Positive(t, plan.connections, "%d MB", limitMB)
	}
	require.Greater(t, planMemory(32*mib, files).connections, 256)
	require.Greater(t, planMemory(64*mib, files).connections, 1024)
}

func TestSizeOfMappedFiles_CountsFilesOnly(t *testing.T) {
	const maps = `00400000-00a00000 r-xp 00000000 fe:00 12 /usr/bin/router
00a00000-00a10000 rw-p 00600000 fe:00 12 /usr/bin/router
4000000000-4004000000 rw-p 00000000 00:00 0
ffffb000-ffffc000 r-xp 00000000 00:00 0 [vdso]
`
	require.Equal(t, 0x610000, sizeOfMappedFiles([]byte(maps)))
	require.Positive(t, mappedFiles())
}

// Guards against a process that is killed for its memory, and against requests of others that find no room, while hundreds of
// clients hold large messages that they don't complete.
func TestNode_ServesSmallRequestsWhileSlowClientsHoldMemory(t *testing.T) {
	head := "POST /api HTTP/1.1\r\nHost: s\r\nRequest-Class: pay\r\nRequest-Timeout-Ms: 900\r\n"
	for name, text := range map[string]string{
		"heads":  head + "X: " + strings.Repeat("x", 15000),
		"fields": head + strings.Repeat("a: b\r\n", 90) + "Content-Length: 100\r\n\r\n",
		"bodies": head + "Content-Length: 64000\r\n\r\n" + strings.Repeat("x", 60000),
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 10000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const slowClients = 200
			host := newFakeHost(t, "a", respondOK)
			platform := newFakePlatform(t, host.entry())
			config := configJSON(platform.address(), platform.address())
			config["limits"] = map[string]any{"cores": 0.5, "memory_mb": minMemoryMB, "sockets": 1024}
			parsed := parseConfig(t, config)
			parsed.memory = planMemory(minMemoryMB*mib, 8*mib) // that of the program, not of the test
			parsed.Router = parsed.routerConfig()
			node, err := Start(parsed, slog.New(slog.DiscardHandler))
			require.NoError(t, err)
			r := &fixture{T: t, node: node, platform: platform, config: config}
			t.Cleanup(node.Close)
			r.eventually(func() bool { got, _ := r.request("GET", "quote", ""); return got.status == 200 })
			refused := make(chan time.Duration, slowClients)
			for n := range slowClients {
				c := r.connect()
				startedAt := time.Now()
				go func() {
					_, _ = io.WriteString(c, strings.Replace(text, "Host: s", fmt.Sprintf("Host: s\r\nRequest-Id: slow%d", n), 1))
				}()
				go func() { _, _ = io.Copy(io.Discard, c.in); refused <- time.Since(startedAt) }()
			}
			for range 30 {
				for _, request := range [][3]string{{"GET", "quote", ""}, {"POST", "pay", ""}} {
					got, id := r.request(request[0], request[1], request[2])
					require.Equal(t, 200, got.status, id)
				}
				_, _, _, held := node.instance.InFlight()
				require.LessOrEqual(t, held, int64(parsed.memory.messages))
				time.Sleep(10 * time.Millisecond)
			}
			for range slowClients {
				require.Less(t, <-refused, 3*time.Second, "an error or a close is due to such a client")
			}
			r.eventually(func() bool { _, _, _, held := node.instance.InFlight(); return held == 0 })
		})
	}
}
