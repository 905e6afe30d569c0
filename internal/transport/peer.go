package transport

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether the connection seems open and has nothing to read: neither data nor the peer's end of the stream
// has arrived.
func (c *Conn) Quiet() bool {
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// Unread reports whether bytes have arrived that the session has not processed, or may have: they are still in the kernel, or
// were read a moment ago.
func (c *Conn) Unread() bool {
	c.readMu.Lock()
	delivering := c.reading == readDelivering
	c.readMu.Unlock()
	if delivering {
		return true
	}
	n, err := c.peek()
	return n > 0 || isShortOfMemory(err)
}

// PeerClosed reports whether the peer has ended its stream or reset the connection, or this side has closed it. It asks the
// kernel, so it is true as soon as the end has arrived, even if bytes that arrived earlier are still unread. It is false if
// the kernel can't tell at the moment: the end can't arrive while unread bytes fill the receive window.
func (c *Conn) PeerClosed() bool {
	if c.closed.Load() {
		return true
	}
	n, err := c.peek()
	switch {
	case n > 0: // the end may lie behind the unread bytes
		return c.hungUp()
	case errors.Is(err, syscall.EAGAIN), isShortOfMemory(err):
		return false
	}
	return true
}

// peek returns the number of bytes that can be read now, at most 1. It is 0 without an error after the peer's end of the
// stream. The error is EAGAIN if neither data nor the end has arrived.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	rawErr := c.raw.Control(func(fd uintptr) { n, err = retryInterrupted(c.calls.peek, fd, b[:]) })
	return n, errors.Join(rawErr, err)
}

// hungUp reports whether the end of the peer's stream or a reset has arrived, read or not.
func (c *Conn) hungUp() (hungUp bool) {
	rawErr := c.raw.Control(func(fd uintptr) {
		events, err := pollEvents(c.calls, fd, unix.POLLRDHUP)
		hungUp = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp || rawErr != nil
}

// pollEvents returns which of the events, and of those that are always reported, have occurred at a descriptor.
func pollEvents(calls systemCalls, fd uintptr, events int16) (occurred int16, err error) {
	for {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err = calls.poll(descriptors, 0)
		if !errors.Is(err, syscall.EINTR) {
			return descriptors[0].Revents, err
		}
	}
}
