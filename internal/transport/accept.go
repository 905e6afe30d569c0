package transport

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptPause is the pause before the next accept after one that failed, so that the cause, for example a lack of file
// descriptors or memory, can pass in the meantime.
const acceptPause = 10 * time.Millisecond

// maxBacklogErrors is the number of errors after which the rest of a closing listener's backlog is given up.
const maxBacklogErrors = 20

// roomInterval is how often room is asked for while connections wait to be accepted.
const roomInterval = 10 * time.Millisecond

// backlogTimeout is how long a connection of a closing listener's backlog waits until it can be accepted.
const backlogTimeout = 100 * time.Millisecond

// listener is a listener of an engine.
type listener struct {
	net.Listener
	open    func(*Conn) Session
	failed  func(error)
	stopped atomic.Bool
}

// acceptLimit limits how many accepted connections are open.
type acceptLimit struct {
	slots    chan struct{} // holds a value for each accepted connection, and for the one that is accepted next
	makeRoom func()
}

// LimitAccepted limits how many accepted connections are open at once. Further connections wait in the backlogs of the
// listeners: this side has not read from them, and no descriptor is needed. While one waits, makeRoom is called every
// roomInterval; it should have idle connections closed, and must not wait. LimitAccepted must be called before Accept.
func (e *Engine) LimitAccepted(most int, makeRoom func()) {
	e.limit = &acceptLimit{slots: make(chan struct{}, most), makeRoom: makeRoom}
}

// acquireSlot waits until another connection may be accepted. It reports false if the engine or the listener was stopped
// before, or the timeout has passed; 0 means no timeout.
func (e *Engine) acquireSlot(l *listener, timeout time.Duration) bool {
	if e.limit == nil {
		return true
	}
	select {
	case e.limit.slots <- struct{}{}:
		return true
	default:
	}
	for startedAt := time.Now(); ; {
		if e.connectionWaits(l) {
			e.limit.makeRoom()
		}
		select {
		case e.limit.slots <- struct{}{}:
			return true
		case <-e.ctx.Done():
			return false
		case <-time.After(roomInterval):
		}
		if timeout == 0 && l.stopped.Load() || timeout > 0 && time.Since(startedAt) > timeout {
			return false
		}
	}
}

func (e *Engine) releaseSlot() {
	if e.limit != nil {
		<-e.limit.slots
	}
}

// connectionWaits reports whether a connection waits in the listener's backlog.
func (e *Engine) connectionWaits(l *listener) (waits bool) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) { // fails only if the listener is closed
		events, err := pollEvents(e.calls, fd, unix.POLLIN)
		waits = err == nil && events&unix.POLLIN != 0
	})
	return waits
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
	for failing := false; e.acquireSlot(l, 0); {
		conn, err := l.Accept()
		if err != nil {
			e.releaseSlot()
		}
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

// serveAccepted serves a connection of a listener, which has a slot.
func (e *Engine) serveAccepted(conn net.Conn, l *listener) {
	if _, err := e.add(conn, l.open, e.releaseSlot); err != nil {
		_ = conn.Close()
		e.releaseSlot()
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
	for attempts := 0; attempts < maxBacklogErrors && e.acquireSlot(l, backlogTimeout); {
		conn, err := acceptNow(raw)
		if err != nil {
			e.releaseSlot()
		}
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
