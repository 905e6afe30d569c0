package node

import (
	"bufio"
	"bytes"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
)

const (
	mib = 1 << 20

	// kernelMemory is left to what the kernel holds for the process besides the pages of files.
	kernelMemory = 2 * mib

	// baseHeap is the memory of a router without clients, in the Go runtime's count.
	baseHeap = 7 * mib

	// connectionMemory is the memory of an open connection without a message: its goroutine's stack and its state.
	connectionMemory = 6 << 10

	// minMessageMemory is the least memory for messages, enough for the largest request and its response.
	minMessageMemory = mib

	// defaultMappedFiles is assumed if the kernel does not tell the size of the mapped files.
	defaultMappedFiles = 12 * mib
)

// memoryPlan divides the memory limit of the process, which includes the pages of its files.
type memoryPlan struct {
	runtime     int // soft limit of the Go runtime
	messages    int // for heads, fields and bodies of requests and responses
	connections int // number of connections to clients and hosts
}

// planMemory plans for a limit in bytes and the size of the files that are mapped into the process. The runtime gets 60% at
// most: with the kernel's socket buffers, a larger heap would be at the limit.
func planMemory(limit, mappedFiles int) memoryPlan {
	runtimeLimit := max(baseHeap, min(limit*6/10, (limit-mappedFiles-kernelMemory)*9/10))
	spare := runtimeLimit - baseHeap
	messages := max(minMessageMemory, min(limit/6, spare/2))
	return memoryPlan{runtime: runtimeLimit, messages: messages, connections: max(0, spare-messages) / connectionMemory}
}

// ApplyLimits applies the configured limits to the process. GOMAXPROCS is the number of whole cores, but at least one.
func (c *Config) ApplyLimits() {
	const gcPercent = 200
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	debug.SetMemoryLimit(int64(c.memory.runtime))
	debug.SetGCPercent(gcPercent)
}

// mappedFiles returns the size in bytes of the files that are mapped into the process: its program and libraries.
var mappedFiles = sync.OnceValue(func() int {
	maps, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return defaultMappedFiles
	}
	return sizeOfMappedFiles(maps)
})

// sizeOfMappedFiles adds up the mappings of files in the text of /proc/PID/maps (proc(5)).
func sizeOfMappedFiles(maps []byte) (size int) {
	for lines := bufio.NewScanner(bytes.NewReader(maps)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 6 || !strings.HasPrefix(fields[5], "/") {
			continue
		}
		from, to, _ := strings.Cut(fields[0], "-")
		start, startErr := strconv.ParseUint(from, 16, 64)
		end, endErr := strconv.ParseUint(to, 16, 64)
		if startErr == nil && endErr == nil && end > start {
			size += int(end - start)
		}
	}
	return size
}
