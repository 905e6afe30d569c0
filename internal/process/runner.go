package process

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"dapplefront/agent"
)

// Environment variables of a build's process.
const (
	OwnerVariable = "DAPPLEFRONT_BUILD" // the agent and the build that the process belongs to
	PortVariable  = "DAPPLEFRONT_PORT"  // the port on which the process must listen
	ReadyVariable = "DAPPLEFRONT_READY" // the file that the process creates once it is ready
)

const (
	stopPollInterval = 5 * time.Millisecond
	killTimeout      = time.Second // time for processes to exit after the first SIGKILL
)

// Runner runs the processes of one agent.
type Runner struct {
	Owner          string   // identifies this agent among the agents of the host
	OutputDir      string   // folder of output files and ready files
	Env            []string // added to the environment of the agent
	MaxOutputBytes int64    // size to which the output of a build is trimmed
}

// ownerValue returns the value of OwnerVariable for a build.
func (r Runner) ownerValue(digest string) string { return r.Owner + "/" + digest }

// ReadyFile returns the path of the file that a build creates to declare itself ready.
func (r Runner) ReadyFile(digest string) string { return filepath.Join(r.OutputDir, digest+".ready") }

// OutputFile returns the path of the file to which the output of a build is appended.
func (r Runner) OutputFile(digest string) string { return filepath.Join(r.OutputDir, digest+".log") }

// Start starts a build in its folder dir. The first element of command is the path of a file below dir. The channel
// receives one error, never nil, when the process exits. A process may outlive its agent, so the goroutine that waits
// for the exit ends only then.
func (r Runner) Start(digest, dir string, command []string, port int) (agent.Process, <-chan error, error) {
	_ = os.Remove(r.ReadyFile(digest))
	output, err := os.OpenFile(r.OutputFile(digest), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return agent.Process{}, nil, err
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	c := exec.Command(filepath.Join(dir, filepath.FromSlash(command[0])), command[1:]...)
	c.Dir = dir
	c.Stdout, c.Stderr = output, output
	c.Env = append(append(os.Environ(), r.Env...), OwnerVariable+"="+r.ownerValue(digest),
		PortVariable+"="+strconv.Itoa(port), ReadyVariable+"="+r.ReadyFile(digest))
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		return agent.Process{}, nil, err
	}
	ticks, _ := startTicks(c.Process.Pid)
	exited := make(chan error, 1)
	go func() {
		err := c.Wait()
		if err == nil {
			err = errors.New("exit status 0")
		}
		exited <- err
	}()
	return agent.Process{Pid: c.Process.Pid, StartTicks: ticks, Port: port, StartedAt: time.Now()}, exited, nil
}

// Stop stops all processes of a build. It sends SIGTERM to the process group and to all other processes with the
// build's OwnerVariable, and SIGKILL to those that haven't exited within the given time. It returns once none of these
// processes is running, or fails if some are still running one second after the first SIGKILL.
func (r Runner) Stop(digest string, within time.Duration) error {
	r.signal(digest, syscall.SIGTERM)
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(stopPollInterval) {
		if len(r.Find(digest)) == 0 {
			return nil
		}
	}
	for end := time.Now().Add(killTimeout); time.Now().Before(end); time.Sleep(stopPollInterval) {
		if r.signal(digest, syscall.SIGKILL) == 0 {
			return nil
		}
	}
	return errors.New("processes of the build are still there after SIGKILL")
}

// signal sends a signal to the processes of a build and returns their number. If a process leads its group, the signal
// goes to the whole group.
func (r Runner) signal(digest string, s syscall.Signal) int {
	found := r.Find(digest)
	for _, p := range found {
		if group, err := syscall.Getpgid(p.Pid); err == nil && group == p.Pid {
			_ = syscall.Kill(-p.Pid, s)
		} else {
			_ = syscall.Kill(p.Pid, s)
		}
	}
	return len(found)
}

// TrimOutput trims the output of a build to its last MaxOutputBytes if it is larger than twice that size. Output
// written during the trim may be lost.
func (r Runner) TrimOutput(digest string) (err error) {
	path := r.OutputFile(digest)
	info, err := os.Stat(path)
	if err != nil || info.Size() <= 2*r.MaxOutputBytes {
		return nil
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	tail := make([]byte, r.MaxOutputBytes)
	n, err := f.ReadAt(tail, info.Size()-r.MaxOutputBytes)
	if err != nil && n == 0 {
		return err
	}
	if err := f.Truncate(0); err != nil { // the process opened the file for appending, so it continues at the new end
		return err
	}
	_, err = f.WriteAt(tail[:n], 0)
	return err
}
