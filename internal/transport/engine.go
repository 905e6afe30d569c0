package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Engine manages the listeners and connections of one router and the goroutines that serve them.
type Engine struct {
	ctx        context.Context // canceled when the engine is stopped
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	acceptors  sync.WaitGroup // the goroutines that accept connections
	calls      systemCalls
	limit      *acceptLimit // nil if the number of accepted connections is not limited

	mu        sync.Mutex
	listeners []*listener
	conns     map[*Conn]bool
}

// Start returns a running engine, which Stop ends.
func Start() *Engine {
	e := &Engine{conns: map[*Conn]bool{}, calls: defaultSystemCalls}
	e.ctx, e.stop = context.WithCancel(context.Background())
	return e
}

// add starts the goroutine that serves a connection and calls released, if it is not nil, when its descriptor has been released
// and its session knows that it has ended.
// After an error the caller must close the connection.
func (e *Engine) add(conn net.Conn, open func(*Conn) Session, released func()) (*Conn, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.New("not a TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{tcp: tcp, raw: raw, calls: e.calls}
	if c.session = open(c); c.session == nil {
		return nil, net.ErrClosed
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return nil, net.ErrClosed
	}
	e.conns[c] = true
	e.goroutines.Go(func() {
		err := c.serve()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.session.Closed(err)
		if released != nil {
			released()
		}
	})
	return c, nil
}

// Dial connects in the background and calls done with the connection, whose session is s, or with an error. If the engine
// has been stopped, Dial calls done before it returns.
func (e *Engine) Dial(address string, timeout time.Duration, s Session, done func(*Conn, error)) {
	e.mu.Lock()
	if e.ctx.Err() != nil {
		e.mu.Unlock()
		done(nil, net.ErrClosed)
		return
	}
	e.goroutines.Go(func() {
		dialer := net.Dialer{Timeout: timeout}
		conn, err := dialer.DialContext(e.ctx, "tcp", address)
		if err != nil {
			done(nil, err)
			return
		}
		c, err := e.add(conn, func(*Conn) Session { return s }, nil)
		if err != nil {
			_ = conn.Close()
		}
		done(c, err)
	})
	e.mu.Unlock()
}

// Stop closes all listeners and connections immediately. It waits until Closed has returned for all sessions and all
// goroutines have ended. It must not be called from a session.
func (e *Engine) Stop() {
	e.stop()
	e.StopAccepting()
	e.mu.Lock()
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}
