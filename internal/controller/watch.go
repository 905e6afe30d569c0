package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
	"dapplefront/release"
)

// batch is how many events are written to a watcher at once: a slow one holds this many in memory, not the whole log.
const batch = 128

// watch streams events: all of them, or with ?router=NAME those that concern a router, which is a member from then on.
// It starts with where the newest release stands, or after Last-Event-ID (or ?after=). Bookmarks move the id on where
// nothing happens. Every instance numbers events alike, so a watch may be taken up again at any of them.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	router := r.URL.Query().Get("router")
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		text = r.URL.Query().Get("after")
	}
	var from uint64
	var err error
	if text != "" {
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			problem(w, http.StatusBadRequest, "Last-Event-ID", "the id of an event expected")
			return
		}
	}
	s.mu.Lock()
	if s.watchers >= s.config.MaxWatchers {
		s.mu.Unlock()
		w.Header().Set("Retry-After", "2")
		problem(w, http.StatusServiceUnavailable, "", fmt.Sprintf("%d watchers are as many as may be", s.config.MaxWatchers))
		return
	}
	s.watchers++
	slow := s.config.WriteTimeout
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.watchers--; s.mu.Unlock() }()

	var out []watchEvent
	var oldest uint64
	gone := false
	leads, _ := s.node.IsLeader()
	s.node.Read(func(st *control.State, now policy.Time) {
		if text == "" {
			from = st.LastEvent()
			s.write(&out, router, control.Event{ID: from, Kind: api.EventRelease, At: st.Status().Since, Body: encode(st.Status())}, now)
			if p, left := st.ActivePlan(now); p != nil && left > 0 {
				s.write(&out, router, control.Event{ID: from, Kind: api.EventPlan, Body: encode(api.PlanNotice{Version: p.Version})}, now)
			}
			return
		}
		if _, ok := st.EventsSince(from, router, 1); !ok {
			// An id beyond the newest: this instance is behind, and the watch waits for it; the one that leads knows all.
			oldest, gone = st.OldestEvent(), from <= st.LastEvent() || leads
		}
	})
	if gone {
		w.Header().Set("Dapplefront-Oldest", strconv.FormatUint(oldest, 10))
		problem(w, http.StatusGone, "Last-Event-ID", fmt.Sprintf("events up to %d have been dropped; read the releases and watch from now on", oldest-1))
		return
	}
	to, err := open(w, r, slow)
	if err != nil {
		return // whoever asked has been answered
	}
	defer to.end()
	flush := func() bool {
		err := to.send(out)
		out = out[:0]
		if errors.Is(err, os.ErrDeadlineExceeded) || err != nil && r.Context().Err() == nil && !to.gone() {
			s.mu.Lock()
			s.slowWatchers++
			s.mu.Unlock()
			s.log.Warn("a watcher is cut off", "router", router, "from", r.RemoteAddr, "reason", err)
		}
		return err == nil
	}
	if !flush() {
		return
	}
	mark := time.NewTicker(s.config.BookmarkInterval)
	defer mark.Stop()
	for {
		changed := s.node.Changed()
		more, ok, behind := false, true, false
		late, still := s.config.fault()
		if still {
			late += time.Hour
		}
		var young <-chan time.Time
		s.node.Read(func(st *control.State, now policy.Time) {
			var some []control.Event
			if behind = from > st.LastEvent(); behind {
				return
			}
			if some, ok = st.EventsSince(from, router, batch); !ok {
				return
			}
			more = len(some) == batch
			upto := st.LastEvent()
			if more {
				upto = some[batch-1].ID
			}
			for _, e := range some {
				if age := time.Duration(now-e.At) * 100 * time.Microsecond; age < late {
					upto, more = e.ID-1, false
					young = time.After(min(late-age, 50*time.Millisecond))
					break
				}
				if router == "" || forRouters[e.Kind] {
					s.write(&out, router, e, now)
				}
			}
			from = max(from, upto)
		})
		if !ok {
			s.log.Warn("a watcher is cut off", "router", router, "from", r.RemoteAddr, "reason", "too slow for the events kept")
			return
		}
		if len(out) > 0 && !flush() {
			return
		}
		s.renew(router)
		if more {
			continue
		}
		select {
		case <-changed:
		case <-young:
		case <-mark.C:
			if behind || young != nil {
				continue
			}
			if router != "" { // routers like to hear that all is as it was
				s.node.Read(func(st *control.State, now policy.Time) {
					if from == st.LastEvent() {
						s.write(&out, router, control.Event{ID: from, Kind: api.EventRelease, At: st.Status().Since, Body: encode(st.Status())}, now)
					}
				})
			}
			out = append(out, watchEvent{from, "bookmark", []byte("{}")})
			if !flush() {
				return
			}
		case <-r.Context().Done():
			return
		case <-to.closed():
			return
		case <-s.stop:
			return
		}
	}
}

// forRouters are the kinds of events that routers hear of.
var forRouters = map[string]bool{api.EventRelease: true, api.EventCounts: true, api.EventComplaint: true, api.EventPlan: true}

// renew sees that a router which watches stays a member, wherever it watches.
func (s *Server) renew(router string) {
	absent := time.Duration(s.node.config.Control.RouterTimeout) * 100 * time.Microsecond
	if router == "" || absent == 0 {
		return
	}
	s.mu.Lock()
	due := time.Since(s.joinedAt[router]) > absent/4
	if due {
		s.joinedAt[router] = time.Now()
	}
	s.mu.Unlock()
	if !due {
		return
	}
	go func() {
		if leads, _ := s.node.IsLeader(); leads {
			_, _ = s.node.Propose(control.Command{Kind: control.JoinRouter, Router: router})
			return
		}
		s.node.joinThrough(s, router)
	}()
}

// joinThrough tells the leader of a router that watches here.
func (n *Node) joinThrough(s *Server, router string) {
	_, name := n.IsLeader()
	to := ""
	n.Read(func(st *control.State, _ policy.Time) { to = st.ControllerURL(name) })
	if to == "" {
		return
	}
	ask, err := http.NewRequest("PUT", to+"/v1/routers/"+router, nil)
	if err != nil {
		return
	}
	if got, err := s.client().Do(ask); err == nil {
		_ = got.Body.Close()
	}
}

// write adds an event as watchers hear it; ages are as of now.
func (s *Server) write(out *[]watchEvent, router string, e control.Event, now policy.Time) {
	body := []byte(e.Body)
	age := max(0, int64(now-e.At)/10)
	switch e.Kind {
	case api.EventRelease:
		var n release.Status
		if json.Unmarshal(e.Body, &n) == nil {
			told := api.Release{Build: n.Build, Stage: n.Stage, Phase: api.Phases[n.Phase], ExposureCap: n.ExposureCap,
				AgeMs: max(0, int64(now-n.Since)/10), Version: int64(e.ID)}
			if body = encode(told); router != "" && s.config.OnStatusSent != nil {
				s.config.OnStatusSent(router, told)
			}
		}
	case control.EventRelease:
		var r control.Release
		if json.Unmarshal(e.Body, &r) == nil {
			body = encode(shown(&r, now, nil))
		}
	case api.EventCounts:
		var c api.Counts
		if json.Unmarshal(e.Body, &c) == nil {
			c.AgeMs += age
			body = encode(c)
		}
	case api.EventComplaint:
		var c api.Complaint
		if json.Unmarshal(e.Body, &c) == nil {
			c.AgeMs += age
			body = encode(c)
		}
	}
	*out = append(*out, watchEvent{e.ID, e.Kind, body})
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // types of our own that always encode
	}
	return text
}
