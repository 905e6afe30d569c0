package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	routerFileVariable   = "DAPPLEFRONT_SOAK_ROUTER" // the configuration file; if it is set, the test process runs the router
	goroutineExitTimeout = 2 * time.Second           // how long the goroutines of a stopped router may take to end
	exitLeak             = 9                         // exit status of the router's process after a leak
	stoppedLine          = "ended"                   // the line that the router's process writes when the router has stopped
)

func TestMain(m *testing.M) {
	if file := os.Getenv(routerFileVariable); file != "" {
		os.Exit(runRouterProcess(file))
	}
	os.Exit(m.Run())
}

// runRouterProcess runs the router in its own process. It fails if goroutines or descriptors leak after the router has
// stopped.
func runRouterProcess(file string) int {
	terminate, reload := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
	goroutines, descriptors := runtime.NumGoroutine(), openDescriptors()
	if _, err := Run(file, slog.New(slog.NewTextHandler(os.Stderr, nil)), terminate, reload); err != nil {
		fmt.Fprintln(os.Stderr, "run:", err)
		return 1
	}
	fmt.Println(stoppedLine)
	const poller = 2 // descriptors that the runtime's poller opens with the first socket
	for end := time.Now().Add(goroutineExitTimeout); runtime.NumGoroutine() > goroutines || openDescriptors() > descriptors+poller; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			stacks := make([]byte, 1<<20)
			fmt.Fprintf(os.Stderr, "leaked: %d goroutines, %d descriptors\n%s", runtime.NumGoroutine()-goroutines, openDescriptors()-descriptors,
				stacks[:runtime.Stack(stacks, true)])
			return exitLeak
		}
	}
	return 0
}

func openDescriptors() int {
	entries, _ := os.ReadDir("/proc/self/fd")
	return len(entries)
}

// routerProcess is a router in a process of its own.
type routerProcess struct {
	testing.TB
	command *exec.Cmd
	address string
	lines   io.Reader // standard output of the process
	output  strings.Builder
}

// freeAddress returns an address on loopback on which nothing listens.
func freeAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// writeConfigFile replaces the configuration file in one step.
func writeConfigFile(tb testing.TB, file string, config map[string]any) {
	tb.Helper()
	next := file + ".next"
	require.NoError(tb, os.WriteFile(next, []byte(encode(tb, config)), 0o600))
	require.NoError(tb, os.Rename(next, file))
}

// startConfiguredProcess starts a router with a configuration that it writes to a file, and waits until it is ready.
func startConfiguredProcess(tb testing.TB, config map[string]any) *routerProcess {
	tb.Helper()
	address := freeAddress(tb)
	config["listen"] = address
	file := filepath.Join(tb.TempDir(), "config.json")
	writeConfigFile(tb, file, config)
	return startRouterProcess(tb, file, address)
}

// startRouterProcess starts a router that listens on address and waits until it is ready.
func startRouterProcess(tb testing.TB, configFile, address string) *routerProcess {
	tb.Helper()
	p := startUnreadyProcess(tb, configFile, address)
	require.Eventually(tb, func() bool { return p.readiness() == http.StatusOK }, 20*time.Second, 5*time.Millisecond)
	return p
}

// startUnreadyProcess starts a router that listens on address and waits until it responds.
func startUnreadyProcess(tb testing.TB, configFile, address string) *routerProcess {
	tb.Helper()
	program, err := os.Executable()
	require.NoError(tb, err)
	p := &routerProcess{TB: tb, command: exec.Command(program), address: address}
	p.command.Env = append(os.Environ(), routerFileVariable+"="+configFile)
	p.command.Stderr = &p.output
	p.lines, err = p.command.StdoutPipe()
	require.NoError(tb, err)
	require.NoError(tb, p.command.Start())
	tb.Cleanup(func() { _ = p.command.Process.Kill() }) // a process that has been waited for is not signaled
	require.Eventually(tb, func() bool { return p.readiness() != 0 }, 20*time.Second, 5*time.Millisecond)
	return p
}

// readiness returns the status of the router's readiness path, or 0 if it does not respond.
func (p *routerProcess) readiness() int {
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	status, _ := readStatus(c)
	return status
}

func (p *routerProcess) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// holdUp stops the process for d, as if none of its threads were scheduled.
func (p *routerProcess) holdUp(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// awaitEnd waits until the router has stopped, or kills it at the given time, and then waits until its process has exited.
// It reports whether the router stopped before the kill.
func (p *routerProcess) awaitEnd(killAt time.Time) (stopped bool) {
	line := make(chan string, 1)
	go func() {
		text, _ := bufio.NewReader(p.lines).ReadString('\n')
		line <- strings.TrimSpace(text)
	}()
	select {
	case text := <-line:
		err := p.command.Wait()
		require.Equal(p, stoppedLine, text, p.output.String())
		require.NoError(p, err, p.output.String())
		return true
	case <-time.After(time.Until(killAt)):
		_ = p.command.Process.Kill()
		_ = p.command.Wait() // the error only says that the process was killed
		return false
	}
}
