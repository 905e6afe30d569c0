package transport

import (
	"errors"
	"net"
	"time"
)

// acceptPause is the pause before the next accept after one that failed, so that the cause, for example a lack of file
// descriptors or memory, can pass in the meantime.
const acceptPause = 10 * time.Millisecond

// listener is a listener of an engine.
type listener struct {
	net.Listener
	open   func(*Conn) Session
	failed func(error)
}

// Accept accepts connections from a listener in the background until StopAccepting is called, and calls open for the session
// of each. If open returns nil, Accept closes the connection. Whenever accepting begins to fail, Accept calls failed with
// the error; it goes on accepting, because the error may concern only one connection or a moment (accept(2)).
func (e *Engine) Accept(l net.Listener, open func(*Conn) Session, failed func(error)) {
	from := listener{l, open, failed}
	e.mu.Lock()
	e.listeners = append(e.listeners, from)
	e.mu.Unlock()
	e.acceptors.Go(func() { e.acceptFrom(from) })
}

func (e *Engine) acceptFrom(l listener) {
	for failing := false; ; {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !failing {
				l.failed(err)
			}
			failing = true
			time.Sleep(acceptPause)
			continue
		}
		failing = false
		e.serveAccepted(conn, l)
	}
}

// serveAccepted serves a connection of a listener.
func (e *Engine) serveAccepted(conn net.Conn, l listener) {
	if _, err := e.add(conn, l.open); err != nil {
		_ = conn.Close()
	}
}

// StopAccepting closes the listeners. Open connections are not affected. When it returns, every connection that was accepted
// has its session.
func (e *Engine) StopAccepting() {
	e.mu.Lock()
	listeners := e.listeners
	e.listeners = nil
	e.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	e.acceptors.Wait()
}
