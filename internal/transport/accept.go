package transport

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// acceptPause is the pause before the next accept after one that failed, so that the cause, for example a lack of file
// descriptors or memory, can pass in the meantime.
const acceptPause = 10 * time.Millisecond

// maxBacklogErrors is the number of errors after which the rest of a closing listener's backlog is given up.
const maxBacklogErrors = 20

// listener is a listener of an engine.
type listener struct {
	net.Listener
	open    func(*Conn) Session
	failed  func(error)
	stopped atomic.Bool
}

// Accept accepts connections from a listener in the background until StopAccepting is called, and calls open for the session
// of each. If open returns nil, Accept closes the connection. Whenever accepting begins to fail, Accept calls failed with
// the error; it goes on accepting, because the error may concern only one connection or a moment (accept(2)).
func (e *Engine) Accept(l net.Listener, open func(*Conn) Session, failed func(error)) {
	from := &listener{Listener: l, open: open, failed: failed}
	e.mu.Lock()
	e.listeners = append(e.listeners, from)
	e.mu.Unlock()
	e.acceptors.Go(func() { e.acceptFrom(from) })
}

func (e *Engine) acceptFrom(l *listener) {
	for failing := false; ; {
		conn, err := l.Accept()
		if err != nil && (l.stopped.Load() || errors.Is(err, net.ErrClosed)) {
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
func (e *Engine) serveAccepted(conn net.Conn, l *listener) {
	if _, err := e.add(conn, l.open); err != nil {
		_ = conn.Close()
	}
}

// StopAccepting closes the listeners. Open connections are not affected. When it returns, every connection that was accepted
// has its session. A connection that the kernel has completed counts as accepted, because its client may have sent a
// request: closing the listener would reset it.
func (e *Engine) StopAccepting() {
	e.mu.Lock()
	listeners := e.listeners
	e.listeners = nil
	e.mu.Unlock()
	for _, l := range listeners {
		l.stopped.Store(true)
		e.acceptBacklog(l)
		_ = l.Close()
	}
	e.acceptors.Wait()
}

// acceptBacklog accepts the connections that wait in the listener's backlog, and reports an error that ended it before the
// backlog was empty.
func (e *Engine) acceptBacklog(l *listener) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	for attempts := 0; attempts < maxBacklogErrors; {
		conn, err := acceptNow(raw)
		switch {
		case err == nil:
			e.serveAccepted(conn, l)
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, net.ErrClosed):
			return
		default:
			l.failed(err)
			attempts++
			time.Sleep(acceptPause)
		}
	}
}

// acceptNow accepts a connection without waiting. It returns EAGAIN if there is none.
func acceptNow(listener syscall.RawConn) (net.Conn, error) {
	descriptor := -1
	var err error
	rawErr := listener.Control(func(fd uintptr) {
		descriptor, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err = errors.Join(rawErr, err); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(descriptor), "")
	defer func() { _ = file.Close() }() // the connection has a descriptor of its own
	return net.FileConn(file)
}
