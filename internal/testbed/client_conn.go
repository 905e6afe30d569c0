package testbed

import (
	"bufio"
	"errors"
	"net"
	"time"
)

const (
	connectTimeout = time.Second
	// connectRetryAfter is the minimum delay before a retry at a router to which the client could not connect.
	connectRetryAfter = 200 * time.Millisecond
)

var errNotTCP = errors.New("not a TCP connection")

// clientConn is a client's connection to a router.
type clientConn struct {
	*timedConn
	reader *bufio.Reader
}

// SetAddress changes the address of the router with the given name. Idle connections to the old address are closed.
func (c *Clients) SetAddress(name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range c.targets {
		if target.Name == name {
			for _, conn := range c.idle[target.Address] {
				closeAndLog("idle connection", conn)
			}
			delete(c.idle, target.Address)
			target.Address = address
		}
	}
}

// addressOf returns the current address of a target.
func (c *Clients) addressOf(target *Target) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return target.Address
}

// connect returns an idle connection to an address, or a new one. It closes idle connections that can't be used any more.
func (c *Clients) connect(address string) (*clientConn, error) {
	for conn := c.takeIdle(address); conn != nil; conn = c.takeIdle(address) {
		if conn.isIdle() {
			return conn, nil
		}
		closeAndLog("ended connection", conn)
	}
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errNotTCP, conn.Close())
	}
	timed, err := newTimedConn(tcp)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &clientConn{timed, bufio.NewReader(timed)}, nil
}

// takeIdle removes and returns the most recently used idle connection to an address, or nil if there is none.
func (c *Clients) takeIdle(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[address] = idle[:len(idle)-1]
	return conn
}

// release stores a connection as idle after a complete response, or closes it if the router closes its end.
func (c *Clients) release(address string, conn *clientConn, closes bool) {
	if closes {
		closeAndLog("connection closed by the router", conn)
		return
	}
	c.mu.Lock()
	c.idle[address] = append(c.idle[address], conn)
	c.mu.Unlock()
}

// closeIdle closes all idle connections.
func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, conn := range idle {
			closeAndLog("idle connection", conn)
		}
	}
	clear(c.idle)
}

// isIdle reports whether the connection is open and has no unexpected data. It sets a read deadline in the past, which the
// caller must replace.
func (c *clientConn) isIdle() bool {
	_ = c.SetReadDeadline(time.Now().Add(-time.Second)) // fails only on a closed connection, on which Peek fails too
	_, err := c.reader.Peek(1)
	return isTimeout(err)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
