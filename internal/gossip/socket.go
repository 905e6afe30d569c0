// Package gossip exchanges short messages between routers. Each message is one UDP datagram, to and from configured
// addresses only. A datagram may be lost, delayed or duplicated; receivers must tolerate that.
package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"dapplefront/policy"
)

// Broadcast is the rank that addresses all other routers.
const Broadcast = policy.Broadcast

// Config describes a router and its peers.
type Config struct {
	Rank      int      // rank of this router: its index in Addresses
	MaxBytes  int      // maximum size of a message
	Addresses []string // addresses of all routers, by rank
}

// Socket is one router's socket. It is safe for concurrent use.
type Socket struct {
	config    Config
	conn      *net.UDPConn
	addresses []netip.AddrPort // of all routers, by rank
	dropped   atomic.Uint64
	done      chan struct{} // closed when receive has returned
}

// Open listens at the router's own address. It passes each message from a configured router to handle, with the sender's
// rank, one message at a time.
func Open(c Config, handle func(rank int, body string)) (*Socket, error) {
	s := &Socket{config: c, done: make(chan struct{})}
	for _, text := range c.Addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peers: address %q: must be a numeric IP address with a port", text)
		}
		s.addresses = append(s.addresses, address)
	}
	if c.Rank < 0 || c.Rank >= len(s.addresses) {
		return nil, fmt.Errorf("peers: no address for rank %d", c.Rank)
	}
	var err error
	if s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.addresses[c.Rank])); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go s.receive(handle)
	return s, nil
}

// receive handles messages until the socket is closed.
func (s *Socket) receive(handle func(rank int, body string)) {
	defer close(s.done)
	buffer := make([]byte, s.config.MaxBytes+1) // one byte more, to detect a message that is too long
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		rank := slices.Index(s.addresses, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if err != nil || rank < 0 || rank == s.config.Rank || n > s.config.MaxBytes {
			s.dropped.Add(1)
			continue
		}
		handle(rank, string(buffer[:n]))
	}
}

// Send sends a message to the router of a rank, or to all others if rank is Broadcast. A message that is too long or can't be
// sent is dropped.
func (s *Socket) Send(rank int, body string) {
	if len(body) > s.config.MaxBytes {
		return
	}
	for i, address := range s.addresses {
		if i != s.config.Rank && (rank == Broadcast || rank == i) {
			_, _ = s.conn.WriteToUDPAddrPort([]byte(body), address) // an error counts as a lost datagram
		}
	}
}

// Dropped returns the number of messages that came from unknown addresses, were too long or could not be received.
func (s *Socket) Dropped() uint64 { return s.dropped.Load() }

// Close closes the socket and waits until the last message has been handled.
func (s *Socket) Close() {
	_ = s.conn.Close() // fails only if it is closed already
	<-s.done
}
