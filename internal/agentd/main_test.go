package agentd

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"dapplefront/internal/process"
)

// TestMain runs the tests or, if an environment variable says so, the process of a build or an agent that kills itself.
func TestMain(m *testing.M) {
	switch {
	case os.Getenv("DAPPLEFRONT_TEST_BUILD") != "":
		serveBuild(os.Getenv("DAPPLEFRONT_TEST_BUILD"))
	case os.Getenv("DAPPLEFRONT_TEST_AGENT") != "":
		runAgent()
	default:
		os.Exit(m.Run())
	}
}

const (
	slowStop      = 1500 * time.Millisecond // how long a slow build takes to stop
	stoppedSuffix = ".stopped"              // of the file that a slow build writes when it has stopped by itself
)

// serveBuild is the main function of a build's process. Its specification is VERSION,BEHAVIOR,START_LISTENER.
func serveBuild(specification string) {
	parts := strings.Split(specification, ",")
	version, behavior, startListener := parts[0], parts[1], parts[2]
	if c, err := net.Dial("tcp", startListener); err == nil { // reports the start to the test
		_, _ = fmt.Fprintln(c, version)
		_ = c.Close()
	}
	switch behavior {
	case "crash":
		os.Exit(3)
	case "silent":
		time.Sleep(time.Hour)
	case "stubborn":
		signal.Ignore(syscall.SIGTERM)
	case "slow": // takes a while to finish its requests
		terminate := make(chan os.Signal, 1)
		signal.Notify(terminate, syscall.SIGTERM)
		go func() {
			<-terminate
			time.Sleep(slowStop)
			_ = os.WriteFile(os.Getenv(process.ReadyVariable)+stoppedSuffix, nil, 0o600)
			os.Exit(0)
		}()
	case "fork":
		c := exec.Command("/bin/sh", "-c", "sleep 1000")
		c.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // leaves the process group
		_ = c.Start()
	}
	_ = os.WriteFile(os.Getenv(process.ReadyVariable), []byte("ready"), 0o600)
	_ = http.ListenAndServe("127.0.0.1:"+os.Getenv(process.PortVariable), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, version)
	}))
}

// runAgent is the main function of an agent in its own process. The agent kills itself after one of its journal writes.
func runAgent() {
	var c Config
	raw, err := os.ReadFile(os.Getenv("DAPPLEFRONT_TEST_AGENT"))
	if err == nil {
		err = json.Unmarshal(raw, &c)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	at := 0
	_, _ = fmt.Sscan(os.Getenv("DAPPLEFRONT_TEST_KILL"), &at)
	c.AfterSave = func(n int) {
		if n == at {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			time.Sleep(time.Minute)
		}
	}
	if _, err := Start(c, slog.New(slog.DiscardHandler)); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	time.Sleep(time.Minute)
}
