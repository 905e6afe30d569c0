// Package transport is an instance's edge to the network: listeners and connections whose bytes go to a Session each. It
// knows nothing of what the bytes mean.
//
// It stands on the standard library's poller, which tells a descriptor's present connection from an earlier one: an
// event that still waits when its connection is closed can't reach the newcomer that gets the same descriptor
// (docs/router.md). A reader waits without a buffer, and borrows one when something has arrived.
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

// Session is whoever reads one connection. Its methods are called by the connection's reader, one at a time; only
// Wrote may also come from whoever writes.
type Session interface {
	Data(data []byte) // valid until it returns
	Closed(err error) // once, last
	Wrote(n int)      // bytes that the kernel has taken
}

// Conn is an open connection. Its methods are safe for concurrent use and never block.
type Conn struct {
	tcp         *net.TCPConn
	raw         syscall.RawConn
	session     Session
	unsent      atomic.Int64
	unsentSince atomic.Int64 // when writing began to wait for the peer, in ns; 0 while nothing waits
	closed      atomic.Bool

	mu       sync.Mutex
	buffered []byte // what the kernel has not taken yet; whoever carries it on takes it away
	busy     bool   // somebody carries it on
	last     bool   // nothing is written after what waits

	readMu  sync.Mutex // held around each read from the kernel, never around anything that waits
	handing bool       // bytes were read that the session has not heard whole yet
	deaf    bool       // nothing more is read
}

// Write hands a head and a body to the kernel, or keeps them until it takes them. When it fails, none tells whether
// surely no byte has been handed over.
func (c *Conn) Write(head, body []byte) (none bool, err error) {
	const small = 32 << 10 // a copy of so much costs less than another call of the kernel
	if len(body) > 0 && len(body) <= small {
		head, body = append(head[:len(head):len(head)], body...), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() || c.last {
		return true, net.ErrClosed
	}
	none = true
	for _, part := range [][]byte{head, body} {
		if len(part) == 0 {
			continue
		}
		n, err := 0, error(nil)
		if !c.busy {
			if n, err = c.writeOnce(part); err != nil {
				return none && n == 0, err
			}
		}
		if n > 0 {
			none = false
			c.session.Wrote(n)
		}
		if n == len(part) {
			continue
		}
		if c.unsent.Add(int64(len(part)-n)) == int64(len(part)-n) {
			c.unsentSince.Store(time.Now().UnixNano())
		}
		c.buffered = append(c.buffered, part[n:]...)
		if !c.busy {
			c.busy = true
			go c.flush()
		}
	}
	return false, nil
}

// writeOnce writes what the kernel takes without waiting.
func (c *Conn) writeOnce(part []byte) (n int, err error) {
	wrong := c.raw.Write(func(fd uintptr) bool {
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
	return n, errors.Join(wrong, err)
}

// flush writes on as the peer reads.
func (c *Conn) flush() {
	for {
		c.mu.Lock()
		part := c.buffered
		if c.buffered = nil; len(part) == 0 {
			if c.busy = false; c.last {
				c.shutdownWrite()
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		for len(part) > 0 {
			n, err := c.tcp.Write(part[:min(len(part), 64<<10)])
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
// sending, so that its bytes don't make the kernel reset the connection and throw away an answer that is still unread.
func (c *Conn) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last = true; !c.busy {
		c.shutdownWrite()
	}
}

func (c *Conn) shutdownWrite() {
	_ = c.raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
}

// CloseIdle closes the connection if nothing is under way on it, and tells whether it did. Bytes that have arrived but
// are not read yet, bytes that were read but are not handed on yet, and whatever idle knows of keep it open: so a close
// never crosses a request that this side has taken. idle must not wait for the session.
func (c *Conn) CloseIdle(idle func() bool) bool {
	c.readMu.Lock()
	c.deaf = c.deaf || !c.handing && idle() && c.Quiet()
	closes := c.deaf
	c.readMu.Unlock()
	if closes { // not under the lock: closing waits for the reader, which may wait for the lock
		c.Close()
	}
	return closes
}

// Close closes the connection; its session's Closed follows. The peer is told before it returns: by itself closing
// waits for the reader to let go of the descriptor, and what is written elsewhere meanwhile would come first.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		_ = c.raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
		_ = c.tcp.Close()
	}
}

// Remote is the peer's address.
func (c *Conn) Remote() net.Addr { return c.tcp.RemoteAddr() }

// Quiet tells whether the connection seems open with nothing to read: neither bytes nor an end have arrived.
func (c *Conn) Quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// buffers are lent to readers while something is there to read.
var buffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// read hands on what arrives until the connection ends.
func (c *Conn) read() error {
	for {
		var buffer *[16 << 10]byte
		n, err := 0, error(nil)
		wrong := c.raw.Read(func(fd uintptr) bool {
			if buffer == nil {
				buffer = buffers.Get().(*[16 << 10]byte)
			}
			c.readMu.Lock()
			defer c.readMu.Unlock()
			if c.deaf {
				n, err = 0, net.ErrClosed
				return true
			}
			if n, err = syscall.Read(int(fd), buffer[:]); err == syscall.EAGAIN || err == syscall.EINTR {
				buffers.Put(buffer)
				buffer = nil
				return false
			}
			c.handing = n > 0
			return true
		})
		if wrong == nil && err == nil && n > 0 {
			c.session.Data(buffer[:n])
			c.readMu.Lock()
			c.handing = false
			c.readMu.Unlock()
		}
		if buffer != nil {
			buffers.Put(buffer)
		}
		switch {
		case wrong != nil:
			return wrong
		case err != nil:
			return err
		case n == 0:
			return io.EOF
		}
	}
}

// Engine holds the connections of one instance.
type Engine struct {
	closed     atomic.Bool
	goroutines sync.WaitGroup

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*Conn]bool
}

// Start starts an engine.
func Start() *Engine { return &Engine{conns: map[*Conn]bool{}} }

// Accept accepts connections of a listener and asks open for the session of each; a nil session closes it.
func (e *Engine) Accept(l net.Listener, open func(*Conn) Session) {
	e.mu.Lock()
	e.listeners = append(e.listeners, l)
	e.mu.Unlock()
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		for {
			conn, err := l.Accept()
			if err != nil {
				if isTemporary(err) { // out of file descriptors: let some close
					time.Sleep(10 * time.Millisecond)
					continue
				}
				return
			}
			if _, err := e.add(conn, open); err != nil {
				_ = conn.Close()
			}
		}
	}()
}

func isTemporary(err error) bool {
	for _, no := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS,
		syscall.ENOMEM} {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}

func (e *Engine) add(conn net.Conn, open func(*Conn) Session) (*Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.New("a TCP connection expected")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{tcp: tcp, raw: raw}
	if c.session = open(c); c.session == nil {
		return nil, net.ErrClosed
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed.Load() {
		return nil, net.ErrClosed
	}
	e.conns[c] = true
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		err := c.read()
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.session.Closed(err)
	}()
	return c, nil
}

// Dial connects in the background and calls done with the connection, whose session is s, or with what went wrong.
func (e *Engine) Dial(address string, within time.Duration, s Session, done func(*Conn, error)) {
	go func() {
		conn, err := net.DialTimeout("tcp", address, within)
		if err != nil {
			done(nil, err)
			return
		}
		c, err := e.add(conn, func(*Conn) Session { return s })
		if err != nil {
			_ = conn.Close()
		}
		done(c, err)
	}()
}

// CloseListeners closes the listeners; connections go on.
func (e *Engine) CloseListeners() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.listeners {
		_ = l.Close()
	}
	e.listeners = nil
}

// Stop closes everything at once and waits for the sessions' ends.
func (e *Engine) Stop() {
	e.closed.Store(true)
	e.CloseListeners()
	e.mu.Lock()
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}
