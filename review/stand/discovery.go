package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of the endpoint list, with the names of the protocol page.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
	Build    int     `json:"revision_no"`
}

// List is a message of discovery.
type List struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// keepAlive is how often a watch sends an empty line while nothing changes (protocol page, "Discovery").
const keepAlive = 2 * time.Second

// watch is one open watch.
type watch struct {
	changed chan struct{} // has room for one value
	ended   chan struct{} // closed when the service ends the watch
}

// Discovery is the endpoint list's service. It can be taken down, which ends its watches and fails all calls, and brought
// back.
type Discovery struct {
	Address string
	record  *Record

	mu       sync.Mutex
	list     List
	changes  []List // of one entry each, in the order of their revisions
	watches  map[*watch]bool
	isDown   bool
	onAnswer func() // called when a watch has been written its first list
}

// NewDiscovery starts the service with a list.
func NewDiscovery(record *Record, members []Member) (*Discovery, error) {
	d := &Discovery{record: record, watches: map[*watch]bool{}, list: List{Revision: 1, Complete: true, Members: members}}
	return d, d.start()
}

// OnAnswer sets a function that is called each time a watch was written its first list.
func (d *Discovery) OnAnswer(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onAnswer = f
}

// start listens on a free address.
func (d *Discovery) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.Address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Up has the service answer again.
func (d *Discovery) Up() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDown = false
	d.record.Line("discovery is up")
}

// Down ends all watches; until Up is called, each call gets 503 (protocol page, "Discovery").
func (d *Discovery) Down() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isDown = true
	for w := range d.watches {
		close(w.ended)
	}
	clear(d.watches)
	d.record.Line("discovery is down")
}

// Known returns the list at present, as a router's configuration has it.
func (d *Discovery) Known() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.list
	l.Members = append([]Member(nil), d.list.Members...)
	return l
}

// Change sets a member's entry, and tells the open watches.
func (d *Discovery) Change(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.list.Members {
		if d.list.Members[i].ID == m.ID {
			d.list.Members[i] = m
		}
	}
	d.list.Revision++
	d.changes = append(d.changes, List{Revision: d.list.Revision, Members: []Member{m}})
	for w := range d.watches {
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
	d.record.Line("discovery lists %s as %s, revision %d", m.ID, m.Phase, d.list.Revision)
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	d.mu.Lock()
	isDown := d.isDown
	d.mu.Unlock()
	d.record.Line("discovery is asked by %s from revision %d, and is down: %v", r.RemoteAddr, from, isDown)
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	first := d.since(from)
	if r.URL.Query().Get("watch") == "" {
		first = []List{d.Known()}
	}
	for _, l := range first {
		writeJSON(w, l)
		from = l.Revision
	}
	if answered := d.answered(); answered != nil {
		answered()
	}
	if r.URL.Query().Get("watch") != "" {
		d.follow(w, r, from)
	}
}

func (d *Discovery) answered() func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.onAnswer
}

// follow writes the changes after a revision until the watch ends.
func (d *Discovery) follow(w http.ResponseWriter, r *http.Request, from int) {
	this := &watch{changed: make(chan struct{}, 1), ended: make(chan struct{})}
	d.mu.Lock()
	d.watches[this] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, this)
		d.mu.Unlock()
	}()
	for {
		for _, l := range d.after(from) {
			writeJSON(w, l)
			from = l.Revision
			d.record.Line("discovery tells %s revision %d", r.RemoteAddr, from)
		}
		select {
		case <-r.Context().Done():
			return
		case <-this.ended:
			return
		case <-this.changed:
		case <-time.After(keepAlive):
			_, _ = fmt.Fprint(w, "\n")
			w.(http.Flusher).Flush()
		}
	}
}

// since returns what a watch is told first: the changes after a revision or, if there are none, the whole list.
func (d *Discovery) since(from int) []List {
	if changes := d.after(from); len(changes) > 0 && from > 0 {
		return changes
	}
	return []List{d.Known()}
}

func (d *Discovery) after(revision int) (changes []List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.changes {
		if l.Revision > revision {
			changes = append(changes, l)
		}
	}
	return changes
}

func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "%s\n", text)
	w.(http.Flusher).Flush()
}
