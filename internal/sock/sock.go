// Package sock is what an instance needs of nbio: listeners and connections whose bytes go to a Session each. It
// knows nothing of what the bytes mean.
package sock

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// Session is whoever reads one connection. Its methods are called by the connection's poller, one at a time; only
// Wrote may also come from whoever writes.
type Session interface {
	Data(data []byte) // valid until it returns
	Closed(err error) // once, last
	Wrote(n int)      // bytes that the kernel has taken
}

// Conn is an open connection. Its methods are safe for concurrent use and never block.
type Conn struct {
	nb      *nbio.Conn
	pending atomic.Int64
	since   atomic.Int64 // when writing began to wait for the peer, in ns; 0 while nothing waits
}

// Write hands a head and a body to the kernel, or keeps them until it takes them. When it fails, none tells whether
// surely no byte has been handed over.
//
// It doesn't use nbio's Writev, which (in v1.6.8) loses what follows a buffer that the kernel takes in part, all of it
// where the kernel takes nothing, and doesn't tell of what it has written in one go.
func (c *Conn) Write(head, body []byte) (none bool, err error) {
	const small = 32 << 10 // a copy of so much costs less than another call of the kernel
	size := len(head) + len(body)
	if c.pending.Add(int64(size)) == int64(size) {
		c.since.Store(time.Now().UnixNano())
	}
	if len(body) > 0 && len(body) <= small {
		head, body = append(head[:len(head):len(head)], body...), nil
	}
	n, err := c.nb.Write(head)
	if err != nil || len(body) == 0 {
		return err != nil && n <= 0, err
	}
	_, err = c.nb.Write(body)
	return false, err
}

// Pending is how many bytes wait for the peer to read, and since when; the time is zero where none do.
func (c *Conn) Pending() (bytes int, since time.Time) {
	bytes = int(c.pending.Load())
	if at := c.since.Load(); bytes > 0 && at > 0 {
		since = time.Unix(0, at)
	}
	return bytes, since
}

// Close closes the connection; its session's Closed follows.
func (c *Conn) Close() { _ = c.nb.Close() }

// Remote is the peer's address.
func (c *Conn) Remote() net.Addr { return c.nb.RemoteAddr() }

// Quiet tells whether the connection seems open with nothing to read: neither bytes nor an end have arrived.
func (c *Conn) Quiet() bool {
	if closed, _ := c.nb.IsClosed(); closed {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.nb.Hash(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// Engine polls the connections of one instance.
type Engine struct {
	nb     *nbio.Engine
	closed atomic.Bool
	ready  atomic.Int64 // connections so far; orders a session's making before its use, which goes by way of the kernel
	wait   sync.WaitGroup

	mu        sync.Mutex
	listeners []net.Listener
}

// held is a connection's session, with the connection.
type held struct {
	conn    *Conn
	session Session
}

var quiet sync.Once

// Start starts an engine with one poller for each of pollers.
func Start(name string, pollers int) (*Engine, error) {
	quiet.Do(func() {
		logging.SetLevel(logging.LevelNone)
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
			nbio.MaxOpenFiles = int(min(limit.Cur, 1<<18)) // a slot each, so not more than a machine opens
		}
	})
	e := &Engine{nb: nbio.NewEngine(nbio.Config{Name: name, NPoller: max(1, pollers), ReadBufferSize: 64 << 10})}
	e.nb.OnOpen(func(nb *nbio.Conn) {})
	e.nb.OnData(func(nb *nbio.Conn, data []byte) {
		if h := e.session(nb); h != nil {
			h.session.Data(data)
		}
	})
	e.nb.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if h := e.session(nb); h != nil && n > 0 {
			if h.conn.pending.Add(int64(-n)) == 0 {
				h.conn.since.Store(0)
			} else {
				h.conn.since.Store(time.Now().UnixNano())
			}
			h.session.Wrote(n)
		}
	})
	e.nb.OnClose(func(nb *nbio.Conn, err error) {
		if h := e.session(nb); h != nil {
			h.session.Closed(err)
		}
	})
	if err := e.nb.Start(); err != nil {
		return nil, fmt.Errorf("starting the pollers: %w", err)
	}
	return e, nil
}

func (e *Engine) session(nb *nbio.Conn) *held {
	_ = e.ready.Load()
	h, _ := nb.Session().(*held)
	return h
}

// Accept accepts connections of a listener and asks open for the session of each; a nil session closes it.
func (e *Engine) Accept(l net.Listener, open func(*Conn) Session) {
	e.mu.Lock()
	e.listeners = append(e.listeners, l)
	e.mu.Unlock()
	e.wait.Add(1)
	go func() {
		defer e.wait.Done()
		for {
			conn, err := l.Accept()
			if err != nil {
				if temporary(err) { // out of file descriptors: let some close
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

func temporary(err error) bool {
	for _, no := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS,
		syscall.ENOMEM} {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}

func (e *Engine) add(conn net.Conn, open func(*Conn) Session) (*Conn, error) {
	nb, err := nbio.NBConn(conn)
	if err != nil {
		return nil, err
	}
	c := &Conn{nb: nb}
	s := open(c)
	if s == nil || e.closed.Load() {
		_ = nb.Close()
		return nil, net.ErrClosed
	}
	nb.SetSession(&held{c, s})
	e.ready.Add(1)
	if _, err = e.nb.AddConn(nb); err != nil {
		return nil, err
	}
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

// Deaf closes the listeners; connections go on.
func (e *Engine) Deaf() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.listeners {
		_ = l.Close()
	}
	e.listeners = nil
}

// Stop closes everything at once.
func (e *Engine) Stop() {
	e.closed.Store(true)
	e.Deaf()
	e.wait.Wait()
	e.nb.Stop()
}
