package transport

import (
	"errors"
	"syscall"
	"time"
)

// memoryPause is the pause before a system call is repeated that failed for lack of memory.
const memoryPause = 5 * time.Millisecond

// systemCalls are the system calls of a connection. Tests replace them to have them fail.
type systemCalls struct {
	read, write func(fd int, b []byte) (int, error)
}

var defaultSystemCalls = systemCalls{read: syscall.Read, write: syscall.Write}

// retryInterrupted repeats a system call while a signal interrupts it. The number of bytes is 0 after an error.
func retryInterrupted(call func(fd int, b []byte) (int, error), fd uintptr, b []byte) (int, error) {
	for {
		n, err := call(int(fd), b)
		if !errors.Is(err, syscall.EINTR) {
			return max(0, n), err
		}
	}
}

// isShortOfMemory reports whether a system call failed because the kernel lacks memory or buffers for the moment. The
// connection is still open.
func isShortOfMemory(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
