package controller

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
)

const (
	// watchBatch is how many events are written to a watcher at once: a slow one holds this many in memory, not the log.
	watchBatch = 128
	// faultPoll is how often a watch looks whether an injected delay is over.
	faultPoll = 50 * time.Millisecond
)

// watchSession is one watch. With a router, it has the events that concern this router, which is a member while it watches.
type watchSession struct {
	server *Server
	router string // "" for all events
	remote string
	cursor uint64 // id of the last event that was taken up
	resume bool   // the caller named the event to go on after
	ready  []watchEvent
	stream stream
}

// watch streams events: all of them, or with ?router=NAME those that concern a router. It starts with the newest release's
// status, or after Last-Event-ID (or ?after=). Bookmarks move the id on where nothing happens. Every instance numbers events
// alike, so that a watch may be resumed at any of them.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) error {
	session := &watchSession{server: s, router: r.URL.Query().Get("router"), remote: r.RemoteAddr}
	if err := session.parseCursor(r); err != nil {
		return err
	}
	writeTimeout, err := s.admitWatcher()
	if err != nil {
		return err
	}
	defer s.releaseWatcher()
	if oldest, dropped := session.begin(); dropped {
		w.Header().Set("Dapplefront-Oldest", strconv.FormatUint(oldest, 10))
		return &problem{status: http.StatusGone, field: "Last-Event-ID",
			detail: fmt.Sprintf("events up to %d have been dropped; read the releases and watch from now on", oldest-1)}
	}
	if session.stream, err = openStream(w, r, writeTimeout); err != nil {
		return err
	}
	defer session.stream.close()
	session.run(r)
	return errAnswered
}

func (ws *watchSession) parseCursor(r *http.Request) (err error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		text = r.URL.Query().Get("after")
	}
	if text == "" {
		return nil
	}
	ws.resume = true
	if ws.cursor, err = strconv.ParseUint(text, 10, 64); err != nil {
		return invalid("Last-Event-ID", "the id of an event expected")
	}
	return nil
}

// admitWatcher counts a watcher, and returns how long a write to it may take.
func (s *Server) admitWatcher() (writeTimeout time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watchers >= s.config.MaxWatchers {
		return 0, &problem{status: http.StatusServiceUnavailable, retryAfter: 2,
			detail: fmt.Sprintf("%d watchers are as many as may be", s.config.MaxWatchers)}
	}
	s.watchers++
	return s.config.WriteTimeout, nil
}

func (s *Server) releaseWatcher() {
	s.mu.Lock()
	s.watchers--
	s.mu.Unlock()
}

// begin gets the first events ready: for a new watch, the status and the plan in force. For one that is resumed, dropped
// tells that events after its cursor are gone, and oldest is the first one kept.
func (ws *watchSession) begin() (oldest uint64, dropped bool) {
	isLeader, _ := ws.server.node.IsLeader()
	ws.server.node.Read(func(st *control.State, now policy.Time) {
		if !ws.resume {
			ws.cursor = st.LastEvent()
			ws.addStatus(st, now)
			if p, left := st.ActivePlan(now); p != nil && left > 0 {
				ws.add(control.Event{ID: ws.cursor, Kind: control.EventPlan, Body: encode(api.PlanNotice{Version: p.Version})}, now)
			}
			return
		}
		if _, ok := st.EventsSince(ws.cursor, ws.router, 1); !ok {
			// A follower may be behind an id that it does not know, and the watch waits for it; the leader knows all.
			oldest, dropped = st.OldestEvent(), ws.cursor <= st.LastEvent() || isLeader
		}
	})
	return oldest, dropped
}

// run sends events until the watcher or the server goes, or the watcher is too slow.
func (ws *watchSession) run(r *http.Request) {
	if !ws.flush(r) {
		return
	}
	s := ws.server
	bookmarks := time.NewTicker(s.config.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		changed := s.node.Changed()
		round := ws.collect()
		if round.dropped {
			s.log.Warn("a watcher is cut off", "router", ws.router, "from", ws.remote, "reason", "too slow for the events kept")
			return
		}
		if len(ws.ready) > 0 && !ws.flush(r) {
			return
		}
		s.renewMembership(ws.router)
		if round.more {
			continue
		}
		select {
		case <-changed:
		case <-round.delayed:
		case <-bookmarks.C:
			if round.behind || round.delayed != nil {
				continue
			}
			if ws.addBookmark(); !ws.flush(r) {
				return
			}
		case <-r.Context().Done():
			return
		case <-ws.stream.closed():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// watchRound is what collect found.
type watchRound struct {
	dropped bool             // events after the cursor are not kept any more
	behind  bool             // this instance has not reached the cursor yet
	more    bool             // there may be more events than a batch
	delayed <-chan time.Time // when to look again for an event that an injected fault delays; nil for none
}

// collect gets the next batch of events ready and moves the cursor on.
func (ws *watchSession) collect() (round watchRound) {
	late, hangs := ws.server.config.injectedFault()
	if hangs {
		late += time.Hour
	}
	ws.server.node.Read(func(st *control.State, now policy.Time) {
		if round.behind = ws.cursor > st.LastEvent(); round.behind {
			return
		}
		events, ok := st.EventsSince(ws.cursor, ws.router, watchBatch)
		if !ok {
			round.dropped = true
			return
		}
		reached := st.LastEvent()
		if round.more = len(events) == watchBatch; round.more {
			reached = events[watchBatch-1].ID
		}
		for _, e := range events {
			if age := time.Duration(now-e.At) * clockUnit; age < late {
				reached, round.more = e.ID-1, false
				round.delayed = time.After(min(late-age, faultPoll))
				break
			}
			if ws.router == "" || routerEvents[e.Kind] {
				ws.add(e, now)
			}
		}
		ws.cursor = max(ws.cursor, reached)
	})
	return round
}

func (ws *watchSession) add(e control.Event, now policy.Time) {
	ws.ready = append(ws.ready, ws.server.toWatchEvent(e, ws.router, now))
}

// addStatus repeats the newest release's status under the cursor's id.
func (ws *watchSession) addStatus(st *control.State, now policy.Time) {
	ws.add(control.Event{ID: ws.cursor, Kind: control.EventStatus, At: st.Status().Since, Body: encode(st.Status())}, now)
}

// addBookmark says that nothing has happened up to the cursor. Routers are told the status again with it.
func (ws *watchSession) addBookmark() {
	if ws.router != "" {
		ws.server.node.Read(func(st *control.State, now policy.Time) {
			if ws.cursor == st.LastEvent() {
				ws.addStatus(st, now)
			}
		})
	}
	ws.ready = append(ws.ready, watchEvent{ws.cursor, "bookmark", []byte("{}")})
}

// flush sends what is ready, which for a new watch may be the headers alone; false where the watch has ended. A watcher that
// was too slow is counted and logged.
func (ws *watchSession) flush(r *http.Request) bool {
	err := ws.stream.send(ws.ready)
	ws.ready = ws.ready[:0]
	if err == nil {
		return true
	}
	s := ws.server
	if errors.Is(err, os.ErrDeadlineExceeded) || r.Context().Err() == nil && !ws.stream.isClosed() {
		s.mu.Lock()
		s.slowWatchers++
		s.mu.Unlock()
		s.log.Warn("a watcher is cut off", "router", ws.router, "from", ws.remote, "reason", err)
	}
	return false
}
