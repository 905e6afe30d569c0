package stand2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// serveHTTP serves HTTP/1.1 on a free loopback port.
func serveHTTP(handler http.HandlerFunc) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

// resetCall resets the connection of a call.
func resetCall(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		Reset(conn)
	}
}

// Discovery is a stand-in of discovery.
type Discovery struct {
	Address string
	// Called is told of each call while discovery is down, after it was reset. It may be nil.
	Called func(at time.Time)

	c        *Case
	name     string
	mu       sync.Mutex
	revision int
	members  []*Host
	changed  chan struct{} // closed at each change
	down     bool
}

// NewDiscovery starts discovery with a list of hosts.
func (c *Case) NewDiscovery(name string, hosts []*Host) (*Discovery, error) {
	d := &Discovery{c: c, name: name, revision: 41, members: hosts, changed: make(chan struct{})}
	var err error
	d.Address, err = serveHTTP(d.serve)
	return d, err
}

// Member is an entry of the list.
func (h *Host) Member() Object {
	return Object{"id": h.Name, "host_port": h.Address(), "locality": h.Zone, "flavor": "std", "cell": 0, "phase": h.Phase, "size": 1.0,
		"up_since_ms": h.UpSince, "revision_no": h.Build}
}

// List returns the whole list.
func (d *Discovery) List() Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list()
}

func (d *Discovery) list() Object {
	members := []Object{}
	for _, h := range d.members {
		members = append(members, h.Member())
	}
	return Object{"revision": d.revision, "complete": true, "members": members}
}

// Change changes the list.
func (d *Discovery) Change(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown takes discovery down or brings it back. While it is down, watches end and calls are reset.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.Note("discovery of %s: down %v", d.name, down)
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) state() (down bool, revision int, list Object, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down, d.revision, d.list(), d.changed
}

// serve answers a call. A watch gets the whole list at first and after each change, which the page allows for the first
// line and which is the same to a router as the changes alone.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	down, sent, list, changed := d.state()
	if down {
		resetCall(w)
		d.c.Note("discovery of %s resets a call", d.name)
		if d.Called != nil {
			d.Called(time.Now())
		}
		return
	}
	write := func(o Object) {
		_ = json.NewEncoder(w).Encode(o)
		w.(http.Flusher).Flush()
		d.c.Note("discovery of %s tells revision %v", d.name, o["revision"])
	}
	write(list)
	if r.URL.Query().Get("watch") != "1" {
		return
	}
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
			w.(http.Flusher).Flush()
		case <-changed:
		}
		var revision int
		if down, revision, list, changed = d.state(); down {
			resetCall(w)
			return
		}
		if revision != sent {
			write(list)
			sent = revision
		}
	}
}

// Status is the state of the newest build.
type Status struct {
	Build, Stage int
	Mode         string
	Exposure     float64
	Since        time.Time
}

// Object returns the state as the platform writes it.
func (s Status) Object() Object {
	return Object{"release": s.Build, "tranche": s.Stage, "mode": s.Mode, "exposure": s.Exposure, "old_ms": time.Since(s.Since).Milliseconds()}
}

// Platform is a stand-in of the platform.
type Platform struct {
	Address string
	// Vote answers a vote. nil means that every vote counts and is answered at once.
	Vote func(vote Object, w http.ResponseWriter)

	c      *Case
	repeat time.Duration
	mu     sync.Mutex
	status Status
	news   chan struct{} // closed at each change
}

// NewPlatform starts a platform that tells the state after each change and again after each repeat.
func (c *Case) NewPlatform(status Status, repeat time.Duration) (*Platform, error) {
	p := &Platform{c: c, status: status, repeat: repeat, news: make(chan struct{})}
	var err error
	p.Address, err = serveHTTP(p.serve)
	return p, err
}

// Status returns the present state.
func (p *Platform) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// Set changes the state.
func (p *Platform) Set(s Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = s
	close(p.news)
	p.news = make(chan struct{})
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/apis/fleet/feed" {
		p.feed(w, r)
		return
	}
	vote := Object{}
	if err := json.NewDecoder(r.Body).Decode(&vote); err != nil {
		http.Error(w, `{"error":"bad_request"}`, http.StatusBadRequest)
		return
	}
	p.c.Note("platform gets vote %v", vote)
	if p.Vote != nil {
		p.Vote(vote, w)
		return
	}
	_ = json.NewEncoder(w).Encode(p.Status().Object())
}

func (p *Platform) feed(w http.ResponseWriter, r *http.Request) {
	tell := func() (chan struct{}, error) {
		p.mu.Lock()
		status, news := p.status, p.news
		p.mu.Unlock()
		err := json.NewEncoder(w).Encode(Object{"type": "stage", "object": status.Object()})
		w.(http.Flusher).Flush()
		p.c.Note("platform tells build %d stage %d %s exposure %g", status.Build, status.Stage, status.Mode, status.Exposure)
		return news, err
	}
	news, err := tell()
	told := time.Now()
	for err == nil {
		select {
		case <-r.Context().Done():
			return
		case <-news:
			news, err = tell()
			told = time.Now()
		case <-time.After(time.Second):
			if time.Since(told) >= p.repeat {
				news, err = tell()
				told = time.Now()
				continue
			}
			_, err = fmt.Fprint(w, "{}\n")
			w.(http.Flusher).Flush()
		}
	}
}
