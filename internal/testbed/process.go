package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dapplefront/internal/audit"
	"dapplefront/internal/process"
)

// Variables that make a process a stand-in host: what the build says, and what the place says.
const (
	hostVariable  = "DAPPLEFRONT_STAND_HOST"
	PlaceVariable = "DAPPLEFRONT_STAND_PLACE"
)

// buildSays is what a stand-in build holds.
type buildSays struct {
	Build   Build
	Kinds   map[string]Kind
	Witness string // the address of a Nest
}

// HostProcess runs a stand-in host and does not return, if this process was started as one. A program that packs
// stand-in builds calls it first thing.
func HostProcess() {
	text := os.Getenv(hostVariable)
	if text == "" {
		return
	}
	if err := runHost(text); err != nil {
		fmt.Fprintln(os.Stderr, "host:", err)
		os.Exit(3)
	}
	os.Exit(0)
}

func runHost(text string) error {
	var says buildSays
	var m Machine
	if err := json.Unmarshal([]byte(text), &says); err != nil {
		return err
	}
	if err := json.Unmarshal([]byte(os.Getenv(PlaceVariable)), &m); err != nil {
		return fmt.Errorf("%s: %w", PlaceVariable, err)
	}
	address := "127.0.0.1:" + os.Getenv(process.PortVariable)
	nest, err := reach(says.Witness, hello{Address: address, Build: says.Build.Number, Machine: m, Up: time.Now()})
	if err != nil {
		return err
	}
	h, err := StartHost(m, says.Build, true, World{Listen: address, Book: nest, Kinds: says.Kinds, Marks: nest, Count: nest.count})
	if err != nil {
		return err
	}
	if err := os.WriteFile(os.Getenv(process.ReadyVariable), []byte("ready"), 0o600); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	h.Stop(2 * time.Second)
	return nil
}

// PackFolder writes a stand-in build into a folder, to be packed: a script that runs this program as a host.
func PackFolder(folder string, b Build, kinds map[string]Kind, nest string) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	text, err := json.Marshal(buildSays{b, kinds, nest})
	if err != nil {
		return err
	}
	script := fmt.Sprintf("#!/bin/sh\n%s='%s' exec '%s'\n", hostVariable, text, exe)
	return os.WriteFile(filepath.Join(folder, "run.sh"), []byte(script), 0o755)
}

// hello is a host's first word to its nest.
type hello struct {
	Address string
	Build   int
	Machine Machine
	Up      time.Time
}

// line is what hosts and nest say to each other.
type line struct {
	audit.Remote
	Mark   string        `json:",omitempty"` // asks whether it is new
	Memory time.Duration `json:",omitempty"`
	Number int           `json:",omitempty"` // of the question
	Yes    bool          `json:",omitempty"`
	Took   time.Duration `json:",omitempty"`
	Bad    bool          `json:",omitempty"`
	Build  int           `json:",omitempty"`
}

// nested is a host's side of its talk with the nest.
type nested struct {
	mu      sync.Mutex
	out     *json.Encoder
	number  int
	waiting map[int]chan bool
}

func reach(address string, h hello) (*nested, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	n := &nested{out: json.NewEncoder(c), waiting: map[int]chan bool{}}
	if err := n.out.Encode(h); err != nil {
		return nil, err
	}
	go func() {
		in := json.NewDecoder(bufio.NewReader(c))
		for {
			var l line
			if in.Decode(&l) != nil {
				os.Exit(4) // the day is over
			}
			n.mu.Lock()
			if w := n.waiting[l.Number]; w != nil {
				w <- l.Yes
				delete(n.waiting, l.Number)
			}
			n.mu.Unlock()
		}
	}()
	return n, nil
}

func (n *nested) say(l line) { n.mu.Lock(); _ = n.out.Encode(l); n.mu.Unlock() }

func (n *nested) Arrived(_ *audit.Host, router, task, category string, work float64) {
	n.say(line{Remote: audit.Remote{Kind: "arrived", At: time.Now(), Router: router, Task: task, Category: category, Work: work}})
}

func (n *nested) Unseen(_ *audit.Host, task string) {
	n.say(line{Remote: audit.Remote{Kind: "unseen", At: time.Now(), Task: task}})
}

func (n *nested) Ran(_ *audit.Host, task string) {
	n.say(line{Remote: audit.Remote{Kind: "ran", At: time.Now(), Task: task}})
}

func (n *nested) count(build int, category string, took time.Duration, bad bool) {
	n.say(line{Remote: audit.Remote{Kind: "count", Category: category}, Build: build, Took: took, Bad: bad})
}

// First asks the nest about a mark (Memory).
func (n *nested) First(mark string, memory time.Duration) bool {
	answer := make(chan bool, 1)
	n.mu.Lock()
	n.number++
	n.waiting[n.number] = answer
	_ = n.out.Encode(line{Mark: mark, Memory: memory, Number: n.number})
	n.mu.Unlock()
	return <-answer
}

// Nest hears the hosts that run as processes.
type Nest struct {
	listen net.Listener
	book   *audit.Book
	marks  *Marks
	count  func(build int, category string, took time.Duration, bad bool)
	id     func(address string) uint32

	mu    sync.Mutex
	conns []net.Conn
}

// StartNest starts one. id gives the number of the host at an address.
func StartNest(book *audit.Book, marks *Marks, count func(int, string, time.Duration, bool), id func(string) uint32) (*Nest, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Nest{listen: l, book: book, marks: marks, count: count, id: id}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns = append(n.conns, c)
			n.mu.Unlock()
			go n.hear(c)
		}
	}()
	return n, nil
}

// Address is where hosts reach it.
func (n *Nest) Address() string { return n.listen.Addr().String() }

// Stop lets go of all hosts, which then end.
func (n *Nest) Stop() {
	_ = n.listen.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

func (n *Nest) hear(c net.Conn) {
	defer c.Close()
	in, out := json.NewDecoder(bufio.NewReader(c)), json.NewEncoder(c)
	var h hello
	if in.Decode(&h) != nil {
		return
	}
	host := &Host{Machine: h.Machine, Up: h.Up}
	seen := &audit.Host{ID: n.id(h.Address), Build: h.Build, Location: h.Machine.Location, Cell: h.Machine.Cell, Cold: h.Machine.Cold,
		Up: n.book.At(h.Up)}
	seen.Capacity = func(at time.Duration) float64 { return host.capacity(at - seen.Up) }
	for {
		var l line
		if in.Decode(&l) != nil {
			return
		}
		switch {
		case l.Number > 0:
			if out.Encode(line{Number: l.Number, Yes: n.marks.First(l.Mark, l.Memory)}) != nil {
				return
			}
		case l.Kind == "count":
			n.count(l.Build, l.Category, l.Took, l.Bad)
		default:
			n.book.Seen(seen, l.Remote)
		}
	}
}
