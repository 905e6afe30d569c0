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
	backendVariable = "DAPPLEFRONT_STAND_HOST"
	MachineVariable = "DAPPLEFRONT_STAND_PLACE"
)

// backendSpec is what a stand-in build holds.
type backendSpec struct {
	Build    Build
	Classes  map[string]Class
	Observer string // the address of a Nest
}

// RunIfBackendProcess runs a stand-in host and does not return, if this process was started as one. A program that packs
// stand-in builds calls it first thing.
func RunIfBackendProcess() {
	text := os.Getenv(backendVariable)
	if text == "" {
		return
	}
	if err := runBackend(text); err != nil {
		fmt.Fprintln(os.Stderr, "host:", err)
		os.Exit(3)
	}
	os.Exit(0)
}

func runBackend(text string) error {
	var says backendSpec
	var m Machine
	if err := json.Unmarshal([]byte(text), &says); err != nil {
		return err
	}
	if err := json.Unmarshal([]byte(os.Getenv(MachineVariable)), &m); err != nil {
		return fmt.Errorf("%s: %w", MachineVariable, err)
	}
	address := "127.0.0.1:" + os.Getenv(process.PortVariable)
	nest, err := dialObserver(says.Observer, registration{Address: address, Build: says.Build.Number, Machine: m, StartedAt: time.Now()})
	if err != nil {
		return err
	}
	h, err := StartBackend(m, says.Build, true, Environment{Listen: address, Observer: nest, Classes: says.Classes, Keys: nest, CountRequest: nest.count})
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

// WriteBuild writes a stand-in build into a folder, to be packed: a script that runs this program as a host.
func WriteBuild(folder string, b Build, kinds map[string]Class, nest string) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	text, err := json.Marshal(backendSpec{b, kinds, nest})
	if err != nil {
		return err
	}
	script := fmt.Sprintf("#!/bin/sh\n%s='%s' exec '%s'\n", backendVariable, text, exe)
	return os.WriteFile(filepath.Join(folder, "run.sh"), []byte(script), 0o755)
}

// registration is a host's first word to its nest.
type registration struct {
	Address   string
	Build     int
	Machine   Machine
	StartedAt time.Time
}

// message is what hosts and nest say to each other.
type message struct {
	audit.RemoteEvent
	Key         string        `json:",omitempty"` // asks whether it is new
	DedupWindow time.Duration `json:",omitempty"`
	QueryNumber int           `json:",omitempty"` // of the question
	IsNew       bool          `json:",omitempty"`
	Latency     time.Duration `json:",omitempty"`
	Failed      bool          `json:",omitempty"`
	Build       int           `json:",omitempty"`
}

// remoteObserver is a host's side of its talk with the nest.
type remoteObserver struct {
	mu      sync.Mutex
	out     *json.Encoder
	number  int
	waiting map[int]chan bool
}

func dialObserver(address string, h registration) (*remoteObserver, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	n := &remoteObserver{out: json.NewEncoder(c), waiting: map[int]chan bool{}}
	if err := n.out.Encode(h); err != nil {
		return nil, err
	}
	go func() {
		in := json.NewDecoder(bufio.NewReader(c))
		for {
			var l message
			if in.Decode(&l) != nil {
				os.Exit(4) // the day is over
			}
			n.mu.Lock()
			if w := n.waiting[l.QueryNumber]; w != nil {
				w <- l.IsNew
				delete(n.waiting, l.QueryNumber)
			}
			n.mu.Unlock()
		}
	}()
	return n, nil
}

func (n *remoteObserver) send(l message) { n.mu.Lock(); _ = n.out.Encode(l); n.mu.Unlock() }

func (n *remoteObserver) AttemptArrived(_ *audit.Host, router, task, category string, work float64) {
	n.send(message{RemoteEvent: audit.RemoteEvent{Kind: "arrived", At: time.Now(), Router: router, RequestID: task, Class: category, Work: work}})
}

func (n *remoteObserver) AttemptRejected(_ *audit.Host, task string) {
	n.send(message{RemoteEvent: audit.RemoteEvent{Kind: "unseen", At: time.Now(), RequestID: task}})
}

func (n *remoteObserver) EffectRan(_ *audit.Host, task string) {
	n.send(message{RemoteEvent: audit.RemoteEvent{Kind: "ran", At: time.Now(), RequestID: task}})
}

func (n *remoteObserver) count(build int, category string, took time.Duration, bad bool) {
	n.send(message{RemoteEvent: audit.RemoteEvent{Kind: "count", Class: category}, Build: build, Latency: took, Failed: bad})
}

// First asks the nest about a mark (Memory).
func (n *remoteObserver) First(mark string, memory time.Duration) bool {
	answer := make(chan bool, 1)
	n.mu.Lock()
	n.number++
	n.waiting[n.number] = answer
	_ = n.out.Encode(message{Key: mark, DedupWindow: memory, QueryNumber: n.number})
	n.mu.Unlock()
	return <-answer
}

// ObserverServer hears the hosts that run as processes.
type ObserverServer struct {
	listen   net.Listener
	recorder *audit.Recorder
	keys     *KeyStore
	count    func(build int, category string, took time.Duration, bad bool)
	id       func(address string) uint32

	mu    sync.Mutex
	conns []net.Conn
}

// StartObserverServer starts one. id gives the number of the host at an address.
func StartObserverServer(book *audit.Recorder, marks *KeyStore, count func(int, string, time.Duration, bool), id func(string) uint32) (*ObserverServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &ObserverServer{listen: l, recorder: book, keys: marks, count: count, id: id}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			n.conns = append(n.conns, c)
			n.mu.Unlock()
			go n.serve(c)
		}
	}()
	return n, nil
}

// Address is where hosts reach it.
func (n *ObserverServer) Address() string { return n.listen.Addr().String() }

// Stop lets go of all hosts, which then end.
func (n *ObserverServer) Stop() {
	_ = n.listen.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}

func (n *ObserverServer) serve(c net.Conn) {
	defer c.Close()
	in, out := json.NewDecoder(bufio.NewReader(c)), json.NewEncoder(c)
	var h registration
	if in.Decode(&h) != nil {
		return
	}
	host := &Backend{Machine: h.Machine, StartedAt: h.StartedAt}
	seen := &audit.Host{ID: n.id(h.Address), Build: h.Build, Zone: h.Machine.Zone, Cell: h.Machine.Cell, WarmUp: h.Machine.WarmUp,
		StartedAt: n.recorder.At(h.StartedAt)}
	seen.Capacity = func(at time.Duration) float64 { return host.capacity(at - seen.StartedAt) }
	for {
		var l message
		if in.Decode(&l) != nil {
			return
		}
		switch {
		case l.QueryNumber > 0:
			if out.Encode(message{QueryNumber: l.QueryNumber, IsNew: n.keys.First(l.Key, l.DedupWindow)}) != nil {
				return
			}
		case l.Kind == "count":
			n.count(l.Build, l.Class, l.Latency, l.Failed)
		default:
			n.recorder.AddRemote(seen, l.RemoteEvent)
		}
	}
}
