package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// WatchedConn is a TCP connection that knows whether input has arrived on it that its reader has not processed. It takes a
// reader that calls Read again for one that has processed all that Read returned before.
type WatchedConn struct {
	*net.TCPConn
	raw     syscall.RawConn
	onClose func(*WatchedConn)

	mu         sync.Mutex // held during each read from the kernel, never while waiting
	processing bool       // the reader has data that it may not have processed
	ended      bool       // nothing more will be read
}

// NewWatchedConn returns a WatchedConn that uses a connection and calls onClose when it is closed.
func NewWatchedConn(conn *net.TCPConn, onClose func(*WatchedConn)) (*WatchedConn, error) {
	raw, err := conn.SyscallConn()
	return &WatchedConn{TCPConn: conn, raw: raw, onClose: onClose}, err
}

// Read waits for data and reads it (io.Reader).
func (c *WatchedConn) Read(to []byte) (n int, err error) {
	if len(to) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	c.processing = false
	c.mu.Unlock()
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		n, err = retryInterrupted(syscall.Read, fd, to)
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		c.processing = n > 0
		c.ended = n == 0
		return true
	})
	if err = errors.Join(rawErr, err); err == nil && n == 0 {
		err = io.EOF
	}
	return n, err
}

// Pending reports whether data or the end of the stream has arrived that the reader has not processed.
func (c *WatchedConn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.processing {
		return !c.ended
	}
	unread := false
	_ = c.raw.Control(func(fd uintptr) {
		_, err := retryInterrupted(peek, fd, make([]byte, 1))
		unread = err == nil
	})
	return unread
}

// Close closes the connection (io.Closer).
func (c *WatchedConn) Close() error {
	c.onClose(c)
	return c.TCPConn.Close()
}
