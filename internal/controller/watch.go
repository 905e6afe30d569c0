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
	// watchBatch is the maximum number of events written to a watcher at once. It bounds the events in memory for a slow watcher.
	watchBatch = 128
	// faultPoll is the interval at which a watch checks whether an injected delay has ended.
	faultPoll = 50 * time.Millisecond
)

// watchSession is one watch. If it names a router, it sends only the events for that router, which is a member while it
// watches.
type watchSession struct {
	server  *Server
	router  string // the router that watches; "" means that the watch is not for a router and sends all events
	remote  string // address of the watcher
	cursor  uint64 // id of the last event that has been collected
	resumed bool   // the caller gave the id of the event after which to resume
	pending []watchEvent
	stream  stream
}

// watch streams all events, or with ?router=NAME the events for that router. A new watch starts with the status of the newest
// release and the plan in force. A watch with Last-Event-ID (or ?after=) resumes after that event. Bookmarks advance the id while
// there are no events. Event ids are the same on every instance, so that a watch can be resumed on any of them.
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
	if oldest, dropped := session.prepareFirstEvents(); dropped {
		w.Header().Set("Dapplefront-Oldest", strconv.FormatUint(oldest, 10))
		return &problem{status: http.StatusGone, field: "Last-Event-ID",
			detail: fmt.Sprintf("events up to %d have been dropped; read the releases and watch from now on", oldest-1)}
	}
	if session.stream, err = openStream(w, r, writeTimeout); err != nil {
		return err
	}
	defer session.stream.close()
	session.run(r)
	return errResponseWritten
}

func (ws *watchSession) parseCursor(r *http.Request) (err error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		text = r.URL.Query().Get("after")
	}
	if text == "" {
		return nil
	}
	ws.resumed = true
	if ws.cursor, err = strconv.ParseUint(text, 10, 64); err != nil {
		return invalid("Last-Event-ID", "the id of an event expected")
	}
	return nil
}

// admitWatcher counts a new watcher and returns its write timeout, or returns a problem if there are too many watchers.
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

// prepareFirstEvents adds the first events of a new watch to pending: the status and the plan in force. For a resumed watch,
// dropped reports that events after its cursor have been dropped, and oldest is the id of the oldest event kept.
func (ws *watchSession) prepareFirstEvents() (oldest uint64, dropped bool) {
	isLeader, _ := ws.server.node.IsLeader()
	ws.server.node.Read(func(st *control.State, now policy.Time) {
		if !ws.resumed {
			ws.cursor = st.LastEvent()
			ws.addStatus(st, now)
			if p, validFor := st.ActivePlan(now); p != nil && validFor > 0 {
				ws.add(control.Event{ID: ws.cursor, Kind: control.EventPlan, Body: encode(api.PlanNotice{Version: p.Version})}, now)
			}
			return
		}
		if _, ok := st.EventsSince(ws.cursor, ws.router, 1); !ok {
			// A follower may not have reached the cursor's id yet; then the watch waits for it. The leader has all events.
			oldest, dropped = st.OldestEvent(), ws.cursor <= st.LastEvent() || isLeader
		}
	})
	return oldest, dropped
}

// run sends events until the watcher disconnects, the server is closed, or the watcher is too slow.
func (ws *watchSession) run(r *http.Request) {
	if !ws.flush(r) {
		return
	}
	s := ws.server
	bookmarks := time.NewTicker(s.config.BookmarkInterval)
	defer bookmarks.Stop()
	for {
		changed := s.node.Changed()
		result := ws.collect()
		if result.dropped {
			s.log.Warn("a watcher is cut off", "router", ws.router, "from", ws.remote, "reason", "too slow for the events kept")
			return
		}
		if len(ws.pending) > 0 && !ws.flush(r) {
			return
		}
		s.renewMembership(ws.router)
		if result.more {
			continue
		}
		select {
		case <-changed:
		case <-result.delayed:
		case <-bookmarks.C:
			if result.behind || result.delayed != nil {
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

// batchResult is the result of collect.
type batchResult struct {
	dropped bool             // events after the cursor have been dropped
	behind  bool             // this instance has not reached the cursor yet
	more    bool             // the batch is full, so there may be more events
	delayed <-chan time.Time // receives when an event that an injected fault delays is to be checked again; nil if there is none
}

// collect adds the next batch of events to pending and advances the cursor.
func (ws *watchSession) collect() (result batchResult) {
	delay, hangs := ws.server.config.injectedFault()
	if hangs {
		delay += time.Hour
	}
	ws.server.node.Read(func(st *control.State, now policy.Time) {
		if result.behind = ws.cursor > st.LastEvent(); result.behind {
			return
		}
		events, ok := st.EventsSince(ws.cursor, ws.router, watchBatch)
		if !ok {
			result.dropped = true
			return
		}
		reached := st.LastEvent()
		if result.more = len(events) == watchBatch; result.more {
			reached = events[watchBatch-1].ID
		}
		for _, e := range events {
			if age := time.Duration(now-e.At) * clockUnit; age < delay {
				reached, result.more = e.ID-1, false
				result.delayed = time.After(min(delay-age, faultPoll))
				break
			}
			if ws.router == "" || routerEvents[e.Kind] {
				ws.add(e, now)
			}
		}
		ws.cursor = max(ws.cursor, reached)
	})
	return result
}

func (ws *watchSession) add(e control.Event, now policy.Time) {
	ws.pending = append(ws.pending, ws.server.toWatchEvent(e, ws.router, now))
}

// addStatus adds the status of the newest release to pending, with the cursor as its id.
func (ws *watchSession) addStatus(st *control.State, now policy.Time) {
	ws.add(control.Event{ID: ws.cursor, Kind: control.EventStatus, At: st.Status().Since, Body: encode(st.Status())}, now)
}

// addBookmark adds a bookmark to pending, which tells the watcher that all events up to the cursor have been sent. For a router
// it first repeats the status, unless there are newer events.
func (ws *watchSession) addBookmark() {
	if ws.router != "" {
		ws.server.node.Read(func(st *control.State, now policy.Time) {
			if ws.cursor == st.LastEvent() {
				ws.addStatus(st, now)
			}
		})
	}
	ws.pending = append(ws.pending, watchEvent{ws.cursor, "bookmark", []byte("{}")})
}

// flush sends the pending events. At the start of a resumed watch there are none, and it sends only the response headers. It
// returns false if the watch has ended. A watcher that was too slow is counted and logged.
func (ws *watchSession) flush(r *http.Request) bool {
	err := ws.stream.send(ws.pending)
	ws.pending = ws.pending[:0]
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
