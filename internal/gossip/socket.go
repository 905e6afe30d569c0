// Package gossip carries short messages between routers: one UDP datagram each, to and from listed addresses only. A
// datagram may be lost, late or doubled; whoever hears it must make nothing of that.
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

// Everyone stands for all other routers.
const Everyone = policy.Broadcast

// Config is what a router is told of its peers.
type Config struct {
	Rank      int
	MaxBytes  int      // bytes of a message
	Addresses []string // of all routers, by rank
}

// Socket is one router's end.
type Socket struct {
	config    Config
	conn      *net.UDPConn
	addresses []netip.AddrPort
	dropped   atomic.Uint64 // from strangers, or too long
	done      chan struct{}
}

// Open listens at the own address and hands each message from a listed router to hear, with its rank.
func Open(c Config, hear func(rank int, body string)) (*Socket, error) {
	s := &Socket{config: c, done: make(chan struct{})}
	for _, a := range c.Addresses {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, fmt.Errorf("peers: address %q: a numeric IP address and a port expected", a)
		}
		s.addresses = append(s.addresses, at)
	}
	if c.Rank < 0 || c.Rank >= len(s.addresses) {
		return nil, fmt.Errorf("peers: no address for rank %d", c.Rank)
	}
	var err error
	if s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.addresses[c.Rank])); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	go s.listen(hear)
	return s, nil
}

func (s *Socket) listen(hear func(rank int, body string)) {
	defer close(s.done)
	b := make([]byte, s.config.MaxBytes+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		rank := slices.Index(s.addresses, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if err != nil || rank < 0 || rank == s.config.Rank || n > s.config.MaxBytes {
			s.dropped.Add(1)
			continue
		}
		hear(rank, string(b[:n]))
	}
}

// Send sends a message to one router or to all others. What can't be sent is lost, as on the way.
func (s *Socket) Send(rank int, body string) {
	if len(body) > s.config.MaxBytes {
		return
	}
	for i, at := range s.addresses {
		if i != s.config.Rank && (rank == Everyone || rank == i) {
			_, _ = s.conn.WriteToUDPAddrPort([]byte(body), at)
		}
	}
}

// Dropped is how many messages came from strangers or were too long.
func (s *Socket) Dropped() uint64 { return s.dropped.Load() }

// Close ends it; nothing is heard after.
func (s *Socket) Close() {
	_ = s.conn.Close()
	<-s.done
}
