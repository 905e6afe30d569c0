package scenario

import (
	"context"
	"time"

	"dapplefront/internal/testbed"
	"dapplefront/release"
)

// schedule lets builds and troubles come when the plan says.
func (s *stage) schedule(ctx context.Context) {
	for n, o := range s.plan.Offers {
		s.at(ctx, o.At, func() {
			build := n + 2
			b := testbed.Build{Number: build, SpeedFactor: .95 + .1*s.draw()}
			switch o.Kind {
			case "bad-some":
				b.FailureRate = .08 + .25*s.draw()
			case "bad-category":
				b.FailingClass, b.ClassFailureRate = wishes[int(s.draw()*float64(len(wishes)))].Name, .4+.5*s.draw()
			case "bad-work":
				b.SpeedFactor = 1 / (1.8 + 1.8*s.draw())
			case "bad-late":
				b.DegradesAfter = time.Duration((3 + 3*s.draw()) * float64(time.Second))
			case "bad-wrong":
				b.WrongAnswerRate = .05 + .2*s.draw()
			case "bad-slows-all":
				b.FleetSlowdown = 2
			}
			if s.crew != nil {
				if err := s.crew.pack(b, o.Kind); err != nil {
					s.log.Error("a build is not packed", "error", err)
					return
				}
			} else {
				s.fleet.mu.Lock()
				s.fleet.builds[build] = b
				s.fleet.mu.Unlock()
			}
			s.desk.Hear(release.Offer{Build: build})
		})
	}
	for _, t := range s.plan.Troubles {
		s.at(ctx, t.At, func() { s.trouble(ctx, t) })
	}
}

func (s *stage) draw() float64 { s.mu.Lock(); defer s.mu.Unlock(); return s.rand.Float64() }

// at does something once the day has come so far, unless it is over before.
func (s *stage) at(ctx context.Context, after time.Duration, do func()) {
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		if sleep(ctx, after) {
			do()
		}
	}()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// trouble lasts its time, or to the day's end, and is mended.
func (s *stage) trouble(ctx context.Context, t Trouble) {
	s.log.Info("trouble begins", "kind", t.Kind, "for", t.For, "share", t.Share, "size", t.Size)
	defer s.log.Info("trouble ends", "kind", t.Kind)
	lasting := func(begin, mend func()) { begin(); sleep(ctx, t.For); mend() }
	hosts := func(change, back func(*testbed.Fault)) {
		some := s.fleet.some(t.Share)
		lasting(func() { all(some, change) }, func() { all(some, back) })
	}
	habits := func(change, back func(*testbed.Behavior)) {
		lasting(func() { s.clients.ChangeBehavior(change) }, func() { s.clients.ChangeBehavior(back) })
	}
	switch t.Kind {
	case "die":
		if s.crew != nil {
			s.crew.die(t.Share)
			return
		}
		s.fleet.die(s.fleet.some(t.Share), t.For)
	case "lose-place", "cold-place":
		s.fleet.die(s.fleet.at(s.figures.locations[len(s.figures.locations)-1]), t.For)
	case "hang":
		hosts(func(x *testbed.Fault) { x.Hangs = true }, func(x *testbed.Fault) { x.Hangs = false })
	case "fail-fast":
		hosts(func(x *testbed.Fault) { x.FailureRate = t.Size }, func(x *testbed.Fault) { x.FailureRate = 0 })
	case "slow", "all-slow":
		hosts(func(x *testbed.Fault) { x.Slowdown = t.Size }, func(x *testbed.Fault) { x.Slowdown = 0 })
	case "refuse":
		hosts(func(x *testbed.Fault) { x.RefusesConnections = true }, func(x *testbed.Fault) { x.RefusesConnections = false })
	case "one-sided":
		name := s.routers[int(s.draw()*float64(len(s.routers)))].name
		hosts(func(x *testbed.Fault) { x.BlockedRouter = name }, func(x *testbed.Fault) { x.BlockedRouter = "" })
	case "pause":
		some := s.fleet.some(t.Share)
		for end := time.Now().Add(t.For); time.Now().Before(end); {
			for _, h := range some {
				h.Pause(time.Duration((.2 + .3*s.draw()) * float64(time.Second)))
			}
			if !sleep(ctx, 1500*time.Millisecond) {
				return
			}
		}
	case "drain":
		some := s.fleet.some(t.Share)
		for _, h := range some {
			h := h
			s.at(ctx, 0, func() { s.fleet.drain([]*member{h}) })
		}
		if sleep(ctx, t.For) {
			s.fleet.replace(some)
		}
	case "burst":
		habits(func(h *testbed.Behavior) { h.RateFactor = t.Size }, func(h *testbed.Behavior) { h.RateFactor = 1 })
	case "repeats":
		habits(func(h *testbed.Behavior) { h.MaxRetries, h.HonorsRetryAfter, h.RetryDelay = int(t.Size), false, 0 },
			func(h *testbed.Behavior) {
				h.MaxRetries, h.HonorsRetryAfter, h.RetryDelay = 2, true, 100*time.Millisecond
			})
	case "bad-requests":
		habits(func(h *testbed.Behavior) { h.BadRequestRate = t.Size }, func(h *testbed.Behavior) { h.BadRequestRate = 0 })
	case "list-down":
		lasting(func() { s.register.SetDown(true) }, func() { s.register.SetDown(false) })
	case "reports-late":
		late := time.Duration(t.Size * float64(time.Second))
		s.desk.Lateness(late)
		t.Share = 1
		hosts(func(x *testbed.Fault) { x.LoadReportDelay = late }, func(x *testbed.Fault) { x.LoadReportDelay = 0 })
		s.desk.Lateness(0)
	case "desk-still":
		lasting(func() { s.desk.Still(true) }, func() { s.desk.Still(false) })
	case "desk-late":
		lasting(func() { s.desk.Lateness(time.Duration(t.Size * float64(time.Second))) }, func() { s.desk.Lateness(0) })
	case "restarts":
		s.restarts(ctx, t)
	case "switch":
		s.switchOver(ctx, t)
	case "stand-still":
		for end := time.Now().Add(t.For); time.Now().Before(end); {
			for _, x := range s.some(t.Share) {
				x.mu.Lock()
				if x.instance != nil {
					d := time.Duration(t.Size * float64(time.Second))
					s.book.RouterPaused(x.name, d)
					x.instance.Stall(d)
				}
				x.mu.Unlock()
			}
			if !sleep(ctx, 2*time.Second) {
				return
			}
		}
	}
}

func all(hosts []*member, change func(*testbed.Fault)) {
	for _, h := range hosts {
		h.ChangeFault(change)
	}
}

// some draws a share of the routers, at least one.
func (s *stage) some(share float64) (out []*seat) {
	for _, x := range s.routers {
		if s.draw() < share {
			out = append(out, x)
		}
	}
	if len(out) == 0 {
		out = s.routers[:1]
	}
	return out
}

// restarts kills routers in batches; each comes back with nothing but its last list.
func (s *stage) restarts(ctx context.Context, t Trouble) {
	batch := max(1, int(t.Share*float64(len(s.routers))))
	for from := 0; from < len(s.routers); from += batch {
		some := s.routers[from:min(len(s.routers), from+batch)]
		for _, x := range some {
			s.kill(x)
		}
		sleep(ctx, time.Duration((.5+s.draw())*float64(time.Second)))
		for _, x := range some {
			if err := s.open(x); err != nil {
				s.log.Error("a router does not come back", "router", x.name, "error", err)
			}
		}
		if !sleep(ctx, t.For/time.Duration(len(s.routers))) {
			return
		}
	}
}

// replace starts cold processes at the places of hosts that left, with a build that serves.
func (f *fleet) replace(left []*member) {
	for _, h := range left {
		build := h.Build.Number
		if len(f.of(build)) == 0 {
			continue
		}
		if x, err := f.start(h.place, build, true); err == nil && x != nil {
			time.Sleep(f.figures.listLate)
			f.list(0, x)
		}
	}
}
