package testbed

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"dapplefront/internal/process"
)

const (
	// MachineVariable is the environment variable that holds the Machine of a backend process, in JSON.
	MachineVariable = "DAPPLEFRONT_STAND_PLACE"
	// backendVariable is the environment variable that makes a process run as a backend. It holds a backendSpec in JSON.
	backendVariable = "DAPPLEFRONT_STAND_HOST"

	processStopTimeout = 2 * time.Second

	exitBackendFailed = 3
	exitObserverLost  = 4
)

// backendSpec is the content of a build that WriteBuild writes.
type backendSpec struct {
	Build    Build            `json:"Build"`
	Classes  map[string]Class `json:"Classes"`
	Observer string           `json:"Observer"` // address of the ObserverServer
}

// RunIfBackendProcess runs a backend and exits if a build that WriteBuild wrote started this process. Otherwise it returns
// immediately. A program or test that writes builds must call it before anything else.
func RunIfBackendProcess() {
	spec := os.Getenv(backendVariable)
	if spec == "" {
		return
	}
	if err := runBackend(spec); err != nil {
		fmt.Fprintln(os.Stderr, "backend:", err)
		os.Exit(exitBackendFailed)
	}
	os.Exit(0)
}

// runBackend runs a backend until SIGTERM.
func runBackend(specJSON string) error {
	var spec backendSpec
	if err := json.Unmarshal([]byte(specJSON), &spec); err != nil {
		return fmt.Errorf("%s: %w", backendVariable, err)
	}
	var machine Machine
	if err := json.Unmarshal([]byte(os.Getenv(MachineVariable)), &machine); err != nil {
		return fmt.Errorf("%s: %w", MachineVariable, err)
	}
	address := "127.0.0.1:" + os.Getenv(process.PortVariable)
	observer, err := dialObserver(spec.Observer, registration{
		Address: address, Build: spec.Build.Number, Machine: machine, StartedAt: time.Now(),
	})
	if err != nil {
		return err
	}
	backend, err := StartBackend(machine, spec.Build, true, Environment{
		Listen: address, Observer: observer, Classes: spec.Classes, Keys: observer, CountRequest: observer.countRequest,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(os.Getenv(process.ReadyVariable), []byte("ready"), 0o600); err != nil {
		return fmt.Errorf("report readiness: %w", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	backend.Stop(processStopTimeout)
	return nil
}

// WriteBuild writes run.sh, a script that runs this program as a backend, into a folder that will be packed as a build.
// observer is the address of an ObserverServer.
func WriteBuild(folder string, b Build, classes map[string]Class, observer string) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("write build %d: %w", b.Number, err)
	}
	spec, err := json.Marshal(backendSpec{b, classes, observer})
	if err != nil {
		return fmt.Errorf("write build %d: %w", b.Number, err)
	}
	script := fmt.Sprintf("#!/bin/sh\n%s='%s' exec '%s'\n", backendVariable, spec, program)
	return os.WriteFile(filepath.Join(folder, "run.sh"), []byte(script), 0o755)
}
