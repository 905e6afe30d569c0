package testbed

import (
	"net"
	"time"
)

// Fault is what a backend suffers at present. The zero Fault is none.
type Fault struct {
	Slowdown           float64       // times slower; 0 is 1
	FailureRate        float64       // share of requests that fail at once
	Hangs              bool          // takes requests and answers none
	RefusesConnections bool          // resets new connections
	BlockedRouter      string        // the router whose connections are closed when it sends a request
	LoadReportDelay    time.Duration // age of the load that responses report
}

// ChangeFault changes the present fault; requests in work keep their service time.
func (b *Backend) ChangeFault(change func(*Fault)) {
	b.mu.Lock()
	change(&b.fault)
	b.mu.Unlock()
}

// Pause lets no request begin for a while, from now.
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
			_ = tcp.SetLinger(0) // fails only on a connection that has ended
		}
		closeAndLog("refused connection", conn)
	}
}
