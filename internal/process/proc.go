// Package process starts, finds and ends the processes of builds. Each is the head of a process group of its own, writes its
// output to a file, so that it outlives the agent, and bears a mark in its environment by which it and whatever it has
// forked are found again, also after the agent's death.
package process

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dapplefront/agent"
)

// OwnerVariable is the environment variable that tells whose a process is.
const OwnerVariable = "DAPPLEFRONT_BUILD"

// Port and Ready are the variables that tell a process where to listen and which file to make once it is ready.
const (
	PortVariable  = "DAPPLEFRONT_PORT"
	ReadyVariable = "DAPPLEFRONT_READY"
)

// Runner keeps the processes of one agent.
type Runner struct {
	Owner          string // tells this agent's processes from others'
	OutputDir      string // for output and ready files
	Env            []string
	MaxOutputBytes int64 // bytes of output kept of each build; twice that at the most
}

func (r Runner) mark(digest string) string { return r.Owner + "/" + digest }

// ReadyFile is the file by which a build says that it is ready.
func (r Runner) ReadyFile(digest string) string { return filepath.Join(r.OutputDir, digest+".ready") }

// OutputFile is the file that its output goes to.
func (r Runner) OutputFile(digest string) string { return filepath.Join(r.OutputDir, digest+".log") }

// Start starts a build: words are its command, of which {port} has been filled in. It returns the process and a channel
// that tells its end.
func (r Runner) Start(digest, dir string, words []string, port int) (agent.Process, <-chan error, error) {
	_ = os.Remove(r.ReadyFile(digest))
	out, err := os.OpenFile(r.OutputFile(digest), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return agent.Process{}, nil, err
	}
	defer out.Close()
	c := exec.Command(filepath.Join(dir, filepath.FromSlash(words[0])), words[1:]...)
	c.Dir = dir
	c.Stdout, c.Stderr = out, out
	c.Env = append(append(os.Environ(), r.Env...), OwnerVariable+"="+r.mark(digest), PortVariable+"="+strconv.Itoa(port), ReadyVariable+"="+r.ReadyFile(digest))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		return agent.Process{}, nil, err
	}
	since, _ := startOf(c.Process.Pid)
	ended := make(chan error, 1)
	go func() {
		err := c.Wait()
		if err == nil {
			err = errors.New("exit status 0")
		}
		ended <- err
	}()
	return agent.Process{Pid: c.Process.Pid, StartTicks: since, Port: port, StartedAt: time.Now()}, ended, nil
}

// Alive tells whether a process still runs: the same, not a later one with its pid.
func Alive(p agent.Process) bool {
	since, err := startOf(p.Pid)
	return err == nil && p.Pid > 0 && since == p.StartTicks
}

// startOf is when a process started, in ticks since the system's start (proc(5), stat, field 22). A zombie has ended.
func startOf(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	rest := raw[bytes.LastIndexByte(raw, ')')+1:] // the name before may hold anything
	fields := strings.Fields(string(rest))
	if len(fields) < 20 || fields[0] == "Z" || fields[0] == "X" {
		return 0, errors.New("it has ended")
	}
	return strconv.ParseInt(fields[19], 10, 64)
}

// Find finds the processes that bear a build's mark, the oldest first: what was started by an agent that died before it
// could write that down, and what a build has forked.
func (r Runner) Find(digest string) (all []agent.Process) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil
	}
	want := []byte(OwnerVariable + "=" + r.mark(digest))
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
		if err != nil || !bytes.Contains(append(append([]byte{0}, env...), 0), append(append([]byte{0}, want...), 0)) {
			continue
		}
		if since, err := startOf(pid); err == nil {
			p := agent.Process{Pid: pid, StartTicks: since, Port: portOf(env)}
			at := len(all)
			for at > 0 && all[at-1].StartTicks > since {
				at--
			}
			all = append(all[:at], append([]agent.Process{p}, all[at:]...)...)
		}
	}
	return all
}

func portOf(env []byte) int {
	for v := range bytes.SplitSeq(env, []byte{0}) {
		if text, ok := bytes.CutPrefix(v, []byte(PortVariable+"=")); ok {
			n, _ := strconv.Atoi(string(text))
			return n
		}
	}
	return 0
}

// Stop tells a build to end, by SIGTERM to its group, and after within kills the group and whatever else bears its
// mark. It returns once nothing of it runs, or with an error after a second more.
func (r Runner) Stop(digest string, within time.Duration) error {
	signal := func(s syscall.Signal) (n int) {
		for _, p := range r.Find(digest) {
			n++
			if group, err := syscall.Getpgid(p.Pid); err == nil && group == p.Pid {
				_ = syscall.Kill(-p.Pid, s)
			} else {
				_ = syscall.Kill(p.Pid, s)
			}
		}
		return n
	}
	signal(syscall.SIGTERM)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(r.Find(digest)) == 0 {
			return nil
		}
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if signal(syscall.SIGKILL) == 0 {
			return nil
		}
	}
	return errors.New("processes of the build are still there after SIGKILL")
}

// TrimOutput keeps a build's output within bounds: what is beyond them is let go, the latest half stays.
func (r Runner) TrimOutput(digest string) error {
	file := r.OutputFile(digest)
	s, err := os.Stat(file)
	if err != nil || s.Size() <= 2*r.MaxOutputBytes {
		return nil
	}
	f, err := os.OpenFile(file, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	tail := make([]byte, r.MaxOutputBytes)
	n, err := f.ReadAt(tail, s.Size()-r.MaxOutputBytes)
	if err != nil && n == 0 {
		return err
	}
	if err := f.Truncate(0); err != nil { // the process appends, so it goes on at the new end
		return err
	}
	_, err = f.WriteAt(tail[:n], 0)
	return err
}
