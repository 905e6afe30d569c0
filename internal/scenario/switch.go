package scenario

import (
	"context"
	"net"
	"os"
	"strings"

	"dapplefront/internal/routerconfig"
)

// switchOver brings all routers over to other settings while they run, one after the other, and back by the files that
// they started with.
func (s *stage) switchOver(ctx context.Context, t Trouble) {
	var addresses []string
	for range s.routers {
		c, err := net.ListenPacket("udp", "127.0.0.1:0") // a free port
		if err != nil {
			s.log.Error("no address for peers", "error", err)
			return
		}
		addresses = append(addresses, c.LocalAddr().String())
		_ = c.Close()
	}
	const next = ".next"
	for _, x := range s.routers {
		first, err := os.ReadFile(x.file)
		if err == nil {
			text := strings.Replace(string(first), "[rules]\n", "[rules]\ntwo-at-once = off\nmost-sends = 3\n", 1) +
				"[probes]\npath = /probe\n[peers]\naddresses = " + strings.Join(addresses, ", ") + "\n"
			err = os.WriteFile(x.file+next, []byte(text), 0o600)
		}
		if err != nil {
			s.log.Error("no other settings", "router", x.name, "error", err)
			return
		}
	}
	s.settle(next)
	sleep(ctx, t.For)
	s.settle("")
}

// settle lets each router that runs go over to its file with an ending.
func (s *stage) settle(ending string) {
	for _, x := range s.routers {
		c, err := routerconfig.Read(x.file + ending)
		x.mu.Lock()
		i := x.instance
		x.mu.Unlock()
		if err == nil && i != nil {
			err = i.UpdateConfig(c)
		}
		if err != nil {
			s.log.Error("a router keeps its settings", "router", x.name, "error", err)
			continue
		}
		s.mu.Lock()
		s.settled++
		s.mu.Unlock()
	}
}
