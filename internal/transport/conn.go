package transport

import (
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	copyLimit      = 32 << 10 // in bytes; a body up to this size is copied behind its head, because a second system call costs more
	flushSize      = 64 << 10 // maximum size of one write of buffered data, in bytes
	readBufferSize = 16 << 10 // in bytes
)

// processStart has a monotonic clock reading, so that times relative to it don't change with the wall clock.
var processStart = time.Now()

// Conn is an open connection. Its methods are safe for concurrent use, and none of them waits for the peer.
//
// Each direction has its own state. When closed is set, both directions have ended. The tables show what Write and
// CloseIdle do in each state, and how the state is entered:
//
//	write state     Write                   entered
//	writeIdle       writes to the kernel    at the start; when a flush has written all buffered data
//	writeFlushing   buffers the data        when the kernel has not accepted all data of a write
//	writeFinishing  fails                   on CloseWrite while flushing
//	writeFinished   fails                   on CloseWrite while idle; when finishing or reading ends
//
//	read state      CloseIdle               entered
//	readWaiting     closes if idle          at the start; when the session has processed the data that was read
//	readDelivering  does not close          when data was read that the session has not processed yet
//	readStopped     reports closed          when CloseIdle decides to close; nothing more is read
type Conn struct {
	tcp     *net.TCPConn
	raw     syscall.RawConn
	session Session
	calls   systemCalls
	closed  atomic.Bool

	unsent      atomic.Int64 // bytes that are buffered until the peer reads
	unsentSince atomic.Int64 // last write of buffered data, or the start of buffering, in ns since processStart; 0 while nothing is buffered

	mu       sync.Mutex
	writing  writeState
	buffered []byte         // data that the kernel has not accepted; flush takes it
	flushes  sync.WaitGroup // the goroutine of flush; it is started only with mu held, and not after serve has begun to wait for it

	readMu  sync.Mutex // held during each read from the kernel, never while waiting
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

// Write writes a head and a body to the kernel and buffers what the kernel does not accept at once. If it fails,
// nothingSent reports whether it is certain that no byte was written.
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
			c.Close() // otherwise the session would wait for the end of a connection on which a part is missing
			return nothingSent, err
		}
	}
	return false, nil
}

// writePart writes what the kernel accepts at once and buffers the rest. The caller must hold mu.
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
			c.unsentSince.Store(int64(time.Since(processStart)))
		}
		c.buffered = append(c.buffered, rest...)
		if c.writing == writeIdle {
			c.writing = writeFlushing
			c.flushes.Go(c.flush)
		}
	}
	return n, nil
}

// writeOnce writes what the kernel accepts without waiting, and returns the number of bytes.
func (c *Conn) writeOnce(part []byte) (n int, err error) {
	rawErr := c.raw.Write(func(fd uintptr) bool {
		n, err = retryInterrupted(c.calls.write, fd, part)
		return true
	})
	if errors.Is(err, syscall.EAGAIN) || isShortOfMemory(err) {
		err = nil
	}
	return n, errors.Join(rawErr, err)
}

// writeWaiting waits until the kernel accepts a part of the data, and returns the number of bytes.
func (c *Conn) writeWaiting(part []byte) (n int, err error) {
	for {
		rawErr := c.raw.Write(func(fd uintptr) bool {
			n, err = retryInterrupted(c.calls.write, fd, part)
			return !errors.Is(err, syscall.EAGAIN)
		})
		if err = errors.Join(rawErr, err); !isShortOfMemory(err) {
			return n, err
		}
		time.Sleep(memoryPause)
	}
}

// flush writes the buffered data as the peer reads, and returns when nothing is buffered or the connection is closed.
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
			n, err := c.writeWaiting(part[:min(len(part), flushSize)])
			part = part[n:]
			if n > 0 {
				c.session.Wrote(n)
				if c.unsent.Add(int64(-n)) == 0 {
					c.unsentSince.Store(0)
				} else {
					c.unsentSince.Store(int64(time.Since(processStart)))
				}
			}
			if err != nil {
				c.Close()
				return
			}
		}
	}
}

// Pending returns how many bytes wait for the peer to read, and since when: the time of the last write of buffered bytes
// or, before the first one, the time when buffering began. The time is zero if no bytes wait; otherwise it has a monotonic
// clock reading.
func (c *Conn) Pending() (bytes int, since time.Time) {
	bytes = int(c.unsent.Load())
	if at := c.unsentSince.Load(); bytes > 0 && at > 0 {
		since = processStart.Add(time.Duration(at))
	}
	return bytes, since
}

// Unsent returns how many of the written bytes have certainly not been sent to the peer: those that the kernel has not
// accepted, and those that wait in the kernel until the peer reads.
func (c *Conn) Unsent() int {
	inKernel := 0
	_ = c.raw.Control(func(fd uintptr) { // without a number from the kernel, its bytes may have been sent
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err == nil {
			inKernel = n
		}
	})
	return int(c.unsent.Load()) + inKernel
}

// CloseWrite shuts down the sending direction once all written data has been sent. Later writes fail. The peer can
// continue to send: if this side closed the connection completely, bytes from the peer would make the kernel reset it
// and discard a response that the peer has not read yet.
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

// shutdownWrite shuts down the sending direction. It ignores errors: they mean that the connection has ended, which the
// session learns from Closed.
func (c *Conn) shutdownWrite() {
	_ = c.raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
}

// CloseIdle closes the connection if it is idle, and reports whether it closed it, now or earlier. The connection is not
// idle if bytes have arrived but are not read yet, if the session has not processed bytes that were read, or if idle
// returns false. Hence CloseIdle never drops a request that this side has read. idle must not wait for the session.
func (c *Conn) CloseIdle(idle func() bool) bool {
	c.readMu.Lock()
	if c.reading == readWaiting && idle() && c.Quiet() {
		c.reading = readStopped
	}
	closes := c.reading == readStopped
	c.readMu.Unlock()
	if closes { // without the lock: Close waits for the reader, which may wait for the lock
		c.Close()
	}
	return closes
}

// Close closes the connection. The session's Closed is called later. Close shuts the connection down first, so that the
// peer is notified before Close returns. tcp.Close alone does not notify the peer until the reader has released the
// descriptor, and data written to other connections in the meantime would be sent first.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		_ = c.raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
		_ = c.tcp.Close() // an error needs no handling: the descriptor is released in any case
	}
}

// Abort resets the connection: bytes that have not left the kernel are discarded. The session's Closed is called later.
func (c *Conn) Abort() {
	if !c.closed.Swap(true) {
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
	}
}

// Remote returns the peer's address.
func (c *Conn) Remote() net.Addr { return c.tcp.RemoteAddr() }

// readBuffers contains the buffers that readers use while there is data to read.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// read passes received data to the session until the connection ends, and returns the reason for the end, which is
// io.EOF if the peer closed the connection.
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
		if n == readBufferSize { // there may be more, but the other connections are read first
			runtime.Gosched()
		}
		if isShortOfMemory(err) {
			time.Sleep(memoryPause)
			continue
		}
		if err != nil {
			return err
		}
		if n == 0 {
			return io.EOF
		}
	}
}

// readOnce waits for data and reads it into a buffer from readBuffers, which the caller must put back. The buffer may be
// nil after an error. n is 0 if the peer has closed the connection.
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
		if n, err = retryInterrupted(c.calls.read, fd, buffer[:]); errors.Is(err, syscall.EAGAIN) {
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

// serve reads until the connection ends, waits for the flush to end and returns the reason for the connection's end.
func (c *Conn) serve() error {
	err := c.read()
	c.Close()
	c.mu.Lock()
	if c.writing == writeIdle { // prevents a new flush, even by a Write that has not yet seen closed
		c.writing = writeFinished
	}
	c.mu.Unlock()
	c.flushes.Wait()
	return err
}
