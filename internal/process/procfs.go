package process

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"dapplefront/agent"
)

// Indices, from 0, of the fields of /proc/PID/stat (proc(5)) that follow the process name.
const (
	statState     = 0
	statStartTime = 19
)

// Alive reports whether a process is still running. A later process with the same PID doesn't count.
func Alive(p agent.Process) bool {
	ticks, err := startTicks(p.Pid)
	return err == nil && p.Pid > 0 && ticks == p.StartTicks
}

// startTicks returns the start time of a process in clock ticks since the system booted. It fails if the process has
// exited, even if it is still a zombie.
func startTicks(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	afterName := raw[bytes.LastIndexByte(raw, ')')+1:] // the name may contain spaces and parentheses
	fields := strings.Fields(string(afterName))
	if len(fields) <= statStartTime || fields[statState] == "Z" || fields[statState] == "X" {
		return 0, errors.New("process has exited")
	}
	return strconv.ParseInt(fields[statStartTime], 10, 64)
}

// Find returns the processes whose environment has the OwnerVariable of a build, the oldest first. They include
// processes that the build has forked, and processes that an earlier agent started but could not save.
func (r Runner) Find(digest string) (found []agent.Process) {
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return nil
	}
	owner := []byte(OwnerVariable + "=" + r.ownerValue(digest))
	for _, e := range entries {
		pid, err := strconv.Atoi(e.Name())
		if err != nil || pid == os.Getpid() {
			continue
		}
		environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
		if err != nil || !hasVariable(environment, owner) {
			continue
		}
		ticks, err := startTicks(pid)
		if err != nil {
			continue
		}
		found = append(found, agent.Process{Pid: pid, StartTicks: ticks, Port: portOf(environment)})
	}
	slices.SortStableFunc(found, func(a, b agent.Process) int {
		return cmp.Compare(a.StartTicks, b.StartTicks)
	})
	return found
}

// hasVariable reports whether an environment, in the format of /proc/PID/environ, contains an assignment NAME=VALUE.
func hasVariable(environment, assignment []byte) bool {
	for v := range bytes.SplitSeq(environment, []byte{0}) {
		if bytes.Equal(v, assignment) {
			return true
		}
	}
	return false
}

// portOf returns the value of PortVariable in an environment, or 0 if it is missing or not a number.
func portOf(environment []byte) int {
	for v := range bytes.SplitSeq(environment, []byte{0}) {
		if text, ok := bytes.CutPrefix(v, []byte(PortVariable+"=")); ok {
			n, _ := strconv.Atoi(string(text))
			return n
		}
	}
	return 0
}
