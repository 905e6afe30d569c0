package day

import (
	"context"
	"net"
	"os"
	"strings"

	"dapplefront/internal/charter"
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
		defer c.Close()
		addresses = append(addresses, c.LocalAddr().String())
		_ = c.Close()
	}
	settle := func(text func(string) string) {
		for _, x := range s.routers {
			first, err := os.ReadFile(x.file)
			if err == nil {
				err = os.WriteFile(x.file+".next", []byte(text(string(first))), 0o600)
			}
			var c *charter.Charter
			if err == nil {
				c, err = charter.Read(x.file + ".next")
			}
			x.mu.Lock()
			i := x.instance
			x.mu.Unlock()
			if err == nil && i != nil {
				err = i.Settle(c)
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
	settle(func(first string) string {
		first = strings.Replace(first, "[rules]\n", "[rules]\ntwo-at-once = off\nmost-sends = 3\n", 1)
		return first + "[probes]\npath = /probe\n[peers]\naddresses = " + strings.Join(addresses, ", ") + "\n"
	})
	sleep(ctx, t.For)
	settle(func(first string) string { return first })
}
