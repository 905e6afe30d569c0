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

// Fields of /proc/PID/stat (proc(5)) that follow the process's name, from 0.
const (
	statState     = 0
	statStartTime = 19
)

// Alive reports whether a process still runs, and not a later one with its pid.
func Alive(p agent.Process) bool {
	ticks, err := startTicks(p.Pid)
	return err == nil && p.Pid > 0 && ticks == p.StartTicks
}

// startTicks returns when a process started, in clock ticks since the system's boot. It fails for one that has ended,
// zombies included.
func startTicks(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	afterName := raw[bytes.LastIndexByte(raw, ')')+1:] // the name may have spaces and parentheses
	fields := strings.Fields(string(afterName))
	if len(fields) <= statStartTime || fields[statState] == "Z" || fields[statState] == "X" {
		return 0, errors.New("it has ended")
	}
	return strconv.ParseInt(fields[statStartTime], 10, 64)
}

// Find returns the processes that bear a build's owner variable, the oldest first: also those that an agent started
// before it could save that, and those that the build has forked.
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

// hasVariable reports whether an environment, as /proc has it, has a variable with a value.
func hasVariable(environment, assignment []byte) bool {
	for v := range bytes.SplitSeq(environment, []byte{0}) {
		if bytes.Equal(v, assignment) {
			return true
		}
	}
	return false
}

// portOf returns the value of PortVariable; 0 if there is none.
func portOf(environment []byte) int {
	for v := range bytes.SplitSeq(environment, []byte{0}) {
		if text, ok := bytes.CutPrefix(v, []byte(PortVariable+"=")); ok {
			n, _ := strconv.Atoi(string(text))
			return n
		}
	}
	return 0
}
