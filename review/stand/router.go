package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Router is a router process, started by `run` of the deploy file from the project's root.
type Router struct {
	Address string
	file    string
	config  map[string]any
	command *exec.Cmd
	log     *os.File
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// StartRouter starts a router with a configuration, to which it adds name and listen, and waits until it is ready. Its log
// goes to a file in folder.
func StartRouter(root, folder, name string, config map[string]any) (*Router, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindStringSubmatch(string(text))
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	r := &Router{Address: freeAddress(), file: filepath.Join(folder, name+".json"), config: config}
	config["name"], config["listen"] = name, r.Address
	if err := r.WriteConfig(func(map[string]any) {}); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	r.command = exec.Command("/bin/sh", "-c", run[1])
	r.command.Dir, r.command.Stdout, r.command.Stderr = root, r.log, r.log
	r.command.Env = append(os.Environ(), "EDGE_NAME="+name, "EDGE_LISTEN="+r.Address, "EDGE_CONFIG="+r.file,
		fmt.Sprintf("EDGE_DISCOVERY=%s", config["discovery"]), "TMPDIR="+folder)
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return r, nil
		}
	}
	r.Kill()
	return nil, fmt.Errorf("%s is not ready", name)
}

// WriteConfig changes the configuration and replaces its file in one step. The process learns of it by SIGHUP.
func (r *Router) WriteConfig(change func(config map[string]any)) error {
	change(r.config)
	text, err := json.Marshal(r.config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.file+".next", text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.file+".next", r.file)
}

// Signal sends a signal to the process.
func (r *Router) Signal(s os.Signal) { _ = r.command.Process.Signal(s) }

// Kill ends the process.
func (r *Router) Kill() {
	_ = r.command.Process.Kill()
	_ = r.command.Wait()
	_ = r.log.Close()
}

func (r *Router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + r.Address + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// freeAddress returns an address on loopback on which nothing listens.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}
