package jsonstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// watchedConn is a TCP connection that knows whether input has arrived on it that its reader has not processed. It takes a
// reader that calls Read again for one that has processed all that Read returned before.
type watchedConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	onClose func(*watchedConn)

	mu         sync.Mutex // held during each read from the kernel, never while waiting
	processing bool       // the reader has data that it may not have processed
	ended      bool       // nothing more will be read
}

func newWatchedConn(conn *net.TCPConn, onClose func(*watchedConn)) (*watchedConn, error) {
	raw, err := conn.SyscallConn()
	return &watchedConn{TCPConn: conn, raw: raw, onClose: onClose}, err
}

// Read waits for data and reads it (io.Reader).
func (c *watchedConn) Read(to []byte) (n int, err error) {
	if len(to) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	c.processing = false
	c.mu.Unlock()
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = readNow(fd, to)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		c.processing = n > 0
		c.ended = n <= 0
		return true
	})
	if err = errors.Join(rawErr, err); err == nil && n <= 0 {
		err = io.EOF
	}
	return max(0, n), err
}

// readNow reads what has arrived. It returns EAGAIN if nothing has.
func readNow(fd uintptr, to []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(int(fd), to); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// pending reports whether data or the end of the stream has arrived that the reader has not processed.
func (c *watchedConn) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.processing {
		return !c.ended
	}
	unread := false
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil
	})
	return unread
}

// Close closes the connection (io.Closer).
func (c *watchedConn) Close() error {
	c.onClose(c)
	return c.TCPConn.Close()
}
