package testbed

import (
	"net"
	"time"
)

// Fault is the fault that is currently injected into a backend. The zero Fault means no fault.
type Fault struct {
	Slowdown           float64       // factor by which work is slower; 0 means 1
	FailureRate        float64       // share of requests that fail immediately
	Hangs              bool          // accepts requests and never responds
	RefusesConnections bool          // resets new connections
	BlockedRouter      string        // name of the router whose connections are closed when it sends a request
	LoadReportDelay    time.Duration // minimum age of the load reports in responses
}

// ChangeFault changes the current fault. Requests that are already being worked on keep their service time.
func (b *Backend) ChangeFault(change func(*Fault)) {
	b.mu.Lock()
	change(&b.fault)
	b.mu.Unlock()
}

// Pause delays the start of work on all later requests until d has passed.
func (b *Backend) Pause(d time.Duration) {
	b.mu.Lock()
	b.pausedUntil = time.Now().Add(d)
	b.mu.Unlock()
}

func (b *Backend) refusesConnections() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault.RefusesConnections
}

// refusingListener resets new connections while its backend refuses them.
type refusingListener struct {
	net.Listener
	backend *Backend
}

func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, isTCP := conn.(*net.TCPConn)
		if !l.backend.refusesConnections() {
			if !isTCP {
				return conn, nil
			}
			return timedOrPlain(tcp), nil
		}
		if isTCP {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		closeAndLog("refused connection", conn)
	}
}
