package transport

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// memoryPause is the pause before a system call is repeated that failed for lack of memory.
const memoryPause = 5 * time.Millisecond

// systemCalls are the system calls of a connection. Tests replace them to have them fail.
type systemCalls struct {
	read, write, peek func(fd int, b []byte) (int, error)
	poll              func(descriptors []unix.PollFd, timeoutMs int) (int, error)
}

var defaultSystemCalls = systemCalls{read: syscall.Read, write: syscall.Write, peek: peek, poll: unix.Poll}

// peek copies received bytes without consuming them, and does not wait.
func peek(fd int, b []byte) (int, error) {
	n, _, err := syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

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
