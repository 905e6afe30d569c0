package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	copyLimit      = 32 << 10 // bytes of a body that are copied behind its head, as another system call costs more
	flushSize      = 64 << 10 // bytes of one write of what was buffered
	readBufferSize = 16 << 10 // bytes
)

// Conn is an open connection. Its methods are safe for concurrent use; none waits for the peer.
//
// Its two halves have a state each, and closed ends both:
//
//	write state     Write                 after
//	writeIdle       goes to the kernel    the start; a flush of all that was buffered
//	writeFlushing   is buffered           the kernel has not taken all of a write
//	writeFinishing  fails                 CloseWrite while flushing
//	writeFinished   fails                 CloseWrite while idle; the end of finishing, or of reading
//
//	read state      CloseIdle             after
//	readWaiting     closes where idle     the start; the session has taken what was read
//	readDelivering  doesn't               bytes were read that the session has not taken yet
//	readStopped     has closed            CloseIdle has closed; nothing more is read
type Conn struct {
	tcp     *net.TCPConn
	raw     syscall.RawConn
	session Session
	closed  atomic.Bool

	unsent      atomic.Int64 // bytes that wait for the peer
	unsentSince atomic.Int64 // when writing began to wait for the peer, in ns; 0 while nothing waits

	mu       sync.Mutex
	writing  writeState
	buffered []byte         // what the kernel has not taken yet; the flush takes it away
	flushes  sync.WaitGroup // Add is called with mu held and closed unset

	readMu  sync.Mutex // held around each read from the kernel, never around anything that waits
	reading readState
}

type writeState int

const (
	writeIdle writeState = iota
	writeFlushing
	writeFinishing
	writeFinished
)

type readState int

const (
	readWaiting readState = iota
	readDelivering
	readStopped
)

// Write hands a head and a body to the kernel, or buffers them until it takes them. When it fails, nothingSent reports
// whether surely no byte has been handed over.
func (c *Conn) Write(head, body []byte) (nothingSent bool, err error) {
	if len(body) > 0 && len(body) <= copyLimit {
		head, body = append(head[:len(head):len(head)], body...), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() || c.writing == writeFinishing || c.writing == writeFinished {
		return true, net.ErrClosed
	}
	nothingSent = true
	for _, part := range [][]byte{head, body} {
		if len(part) == 0 {
			continue
		}
		n, err := c.writePart(part)
		if n > 0 {
			nothingSent = false
		}
		if err != nil {
			return nothingSent, err
		}
	}
	return false, nil
}

// writePart writes what the kernel takes at once and buffers the rest. The caller holds mu.
func (c *Conn) writePart(part []byte) (n int, err error) {
	if c.writing == writeIdle {
		if n, err = c.writeOnce(part); err != nil {
			return n, err
		}
	}
	if n > 0 {
		c.session.Wrote(n)
	}
	if rest := part[n:]; len(rest) > 0 {
		if c.unsent.Add(int64(len(rest))) == int64(len(rest)) {
			c.unsentSince.Store(time.Now().UnixNano())
		}
		c.buffered = append(c.buffered, rest...)
		if c.writing == writeIdle {
			c.writing = writeFlushing
			c.flushes.Go(c.flush)
		}
	}
	return n, nil
}

// writeOnce writes what the kernel takes without waiting.
func (c *Conn) writeOnce(part []byte) (n int, err error) {
	rawErr := c.raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), part)
			if err != syscall.EINTR {
				break
			}
		}
		return true
	})
	if n = max(0, n); err == syscall.EAGAIN {
		err = nil
	}
	return n, errors.Join(rawErr, err)
}

// flush writes what is buffered as the peer reads.
func (c *Conn) flush() {
	for {
		c.mu.Lock()
		part := c.buffered
		if c.buffered = nil; len(part) == 0 {
			if c.writing == writeFinishing {
				c.writing = writeFinished
				c.shutdownWrite()
			} else {
				c.writing = writeIdle
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		for len(part) > 0 {
			n, err := c.tcp.Write(part[:min(len(part), flushSize)])
			part = part[n:]
			if n > 0 {
				c.session.Wrote(n)
				if c.unsent.Add(int64(-n)) == 0 {
					c.unsentSince.Store(0)
				} else {
					c.unsentSince.Store(time.Now().UnixNano())
				}
			}
			if err != nil {
				c.Close()
				return
			}
		}
	}
}

// Pending is how many bytes wait for the peer to read, and since when; the time is zero where none do.
func (c *Conn) Pending() (bytes int, since time.Time) {
	bytes = int(c.unsent.Load())
	if at := c.unsentSince.Load(); bytes > 0 && at > 0 {
		since = time.Unix(0, at)
	}
	return bytes, since
}

// CloseWrite ends the sending half once what was written has gone; nothing can be written after it. The peer can go on
// sending, so that its bytes don't make the kernel reset the connection and throw away a response that is still unread.
func (c *Conn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.writing {
	case writeIdle:
		c.writing = writeFinished
		c.shutdownWrite()
	case writeFlushing:
		c.writing = writeFinishing
	}
}

// shutdownWrite ends the sending half. A failure means that the connection has ended, which its session is told.
func (c *Conn) shutdownWrite() {
	_ = c.raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
}

// CloseIdle closes the connection if nothing is under way on it, and reports whether it did, now or before. Bytes that
// have arrived but are not read yet, bytes that were read but that the session has not taken yet, and whatever idle knows
// of keep it open: so a close never crosses a request that this side has read. idle must not wait for the session.
func (c *Conn) CloseIdle(idle func() bool) bool {
	c.readMu.Lock()
	if c.reading == readWaiting && idle() && c.Quiet() {
		c.reading = readStopped
	}
	closes := c.reading == readStopped
	c.readMu.Unlock()
	if closes { // not under the lock: closing waits for the reader, which may wait for the lock
		c.Close()
	}
	return closes
}

// Close closes the connection; its session's Closed follows. The peer is told before Close returns: tcp.Close by itself
// waits for the reader to let go of the descriptor, and what is written to other connections meanwhile would come first.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		_ = c.raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
		_ = c.tcp.Close() // a failure leaves nothing to be done: the descriptor is given back in any case
	}
}

// Remote is the peer's address.
func (c *Conn) Remote() net.Addr { return c.tcp.RemoteAddr() }

// Quiet reports whether the connection seems open with nothing to read: neither bytes nor an end have arrived.
func (c *Conn) Quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// readBuffers are lent to readers while something is there to read.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// read hands what arrives to the session until the connection ends, and returns why it ended: io.EOF where the peer
// closed it.
func (c *Conn) read() error {
	for {
		buffer, n, err := c.readOnce()
		if err == nil && n > 0 {
			c.session.Data(buffer[:n])
			c.readMu.Lock()
			c.reading = readWaiting
			c.readMu.Unlock()
		}
		if buffer != nil {
			readBuffers.Put(buffer)
		}
		if err != nil {
			return err
		}
		if n == 0 {
			return io.EOF
		}
	}
}

// readOnce waits until something has arrived and reads it into a buffer of readBuffers, which the caller gives back;
// the buffer may be nil after an error. n is 0 where the peer has closed the connection.
func (c *Conn) readOnce() (buffer *[readBufferSize]byte, n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		if buffer == nil {
			buffer = readBuffers.Get().(*[readBufferSize]byte)
		}
		c.readMu.Lock()
		defer c.readMu.Unlock()
		if c.reading == readStopped {
			n, err = 0, net.ErrClosed
			return true
		}
		if n, err = syscall.Read(int(fd), buffer[:]); errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			readBuffers.Put(buffer)
			buffer = nil
			return false
		}
		if n > 0 {
			c.reading = readDelivering
		}
		return true
	})
	if rawErr != nil {
		err = rawErr
	}
	return buffer, n, err
}

// serve reads until the connection ends, waits for its flush and returns why it ended.
func (c *Conn) serve() error {
	err := c.read()
	c.Close()
	c.mu.Lock()
	if c.writing == writeIdle { // no flush starts any more, also by a Write that has not seen closed
		c.writing = writeFinished
	}
	c.mu.Unlock()
	c.flushes.Wait()
	return err
}
