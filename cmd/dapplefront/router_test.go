package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/testbed"
	"dapplefront/policy"
)

// argumentsVariable has the test process run the command with these arguments, which are separated by spaces.
const argumentsVariable = "DAPPLEFRONT_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Args = append(os.Args[:1], strings.Fields(arguments)...)
		main()
		return
	}
	os.Exit(m.Run())
}

// startCommand starts the program as a process with the given arguments.
func startCommand(t *testing.T, arguments ...string) *exec.Cmd {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	command := exec.Command(program)
	command.Env = append(os.Environ(), argumentsVariable+"="+strings.Join(arguments, " "))
	command.Stderr = os.Stderr
	require.NoError(t, command.Start())
	t.Cleanup(func() { _ = command.Process.Kill() })
	return command
}

// startFleet starts a host with the given latency and an endpoint discovery that lists it, and returns discovery's address
// and a channel that receives a value for each request at the host.
func startFleet(t *testing.T, latency time.Duration) (discovery string, received <-chan bool) {
	t.Helper()
	requests := make(chan bool, 100)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests <- true
		time.Sleep(latency)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(host.Close)
	endpoint, zone, err := parseEndpoint(host.Listener.Addr().String()+"=here=1", 1)
	require.NoError(t, err)
	server, err := testbed.StartDiscovery("127.0.0.1:0", "shop", nil)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	server.Set(testbed.Endpoint{Backend: endpoint, State: policy.Serving})
	require.Equal(t, "here", zone)
	return server.Address(), requests
}

// Guards against a stopping router that refuses new connections at once, or drops its requests at a second SIGTERM.
func TestRouter_ServesRequestsAfterRepeatedSIGTERM(t *testing.T) {
	const latency = 700 * time.Millisecond
	discovery, received := startFleet(t, latency)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	file := filepath.Join(t.TempDir(), "router.ini")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `[router]
name = r1
listen = %s
location = here
[register]
address = %s
names = shop/here
[desk]
url = http://127.0.0.1:1
[category quote]
repeat = binding
paths = /quote
promised = 2s
patience = 5s
`, address, discovery), 0o600))
	router := startCommand(t, "router", file)
	request := func() int {
		response, err := http.Get("http://" + address + "/quote")
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	require.Eventually(t, func() bool { return request() == http.StatusOK }, 20*time.Second, 10*time.Millisecond)
	for len(received) > 0 {
		<-received
	}
	statuses := make(chan int, 2)
	go func() { statuses <- request() }()
	<-received
	require.NoError(t, router.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	go func() { statuses <- request() }()
	<-received
	require.NoError(t, router.Process.Signal(syscall.SIGTERM))
	for i := range 2 {
		require.Equal(t, http.StatusOK, <-statuses, "request "+strconv.Itoa(i))
	}
	require.NoError(t, router.Wait())
}
