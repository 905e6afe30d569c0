package testbed

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"dapplefront/internal/audit"
)

const observerDialTimeout = 2 * time.Second

// Each backend process has one TCP connection to the ObserverServer. It sends a registration and then messages, in JSON.
// The server responds only to queries for idempotency keys.

// countKind marks a message that counts a response; the other kinds are those of audit.RemoteEvent.
const countKind = "count"

// registration is the first message that a backend sends.
type registration struct {
	Address   string    `json:"Address"`
	Build     int       `json:"Build"`
	Machine   Machine   `json:"Machine"`
	StartedAt time.Time `json:"StartedAt"`
}

// message is an event, a count, a query for an idempotency key, or the answer to such a query.
type message struct {
	audit.RemoteEvent
	Key         string        `json:",omitempty"` // in a query: the idempotency key to look up
	DedupWindow time.Duration `json:",omitempty"` // in a query
	QueryNumber int           `json:",omitempty"` // in a query and its answer; the first is 1
	IsNew       bool          `json:",omitempty"` // in an answer
	Latency     time.Duration `json:",omitempty"` // in a count, as are Failed and Build
	Failed      bool          `json:",omitempty"`
	Build       int           `json:",omitempty"`
}

// remoteObserver is the backend's end of the connection. It implements Observer and Deduplicator.
type remoteObserver struct {
	mu      sync.Mutex
	encoder *json.Encoder
	queries int
	waiting map[int]chan bool // by QueryNumber
}

// dialObserver connects to an ObserverServer. The process exits when that connection ends, since the backend could no
// longer be observed.
func dialObserver(address string, r registration) (*remoteObserver, error) {
	conn, err := net.DialTimeout("tcp", address, observerDialTimeout)
	if err != nil {
		return nil, fmt.Errorf("observer: %w", err)
	}
	o := &remoteObserver{encoder: json.NewEncoder(conn), waiting: map[int]chan bool{}}
	if err := o.encoder.Encode(r); err != nil {
		closeAndLog("observer's connection", conn)
		return nil, fmt.Errorf("observer: register: %w", err)
	}
	go func() {
		o.receiveAnswers(json.NewDecoder(bufio.NewReader(conn)))
		os.Exit(exitObserverLost)
	}()
	return o, nil
}

// receiveAnswers passes answers to the waiting queries until the connection ends.
func (o *remoteObserver) receiveAnswers(decoder *json.Decoder) {
	for {
		var answer message
		if decoder.Decode(&answer) != nil {
			return
		}
		o.mu.Lock()
		if query := o.waiting[answer.QueryNumber]; query != nil {
			query <- answer.IsNew
			delete(o.waiting, answer.QueryNumber)
		}
		o.mu.Unlock()
	}
}

// send sends a message. It ignores errors: they mean that the connection has ended, which receiveAnswers detects too.
func (o *remoteObserver) send(m message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.encoder.Encode(m)
}

// AttemptArrived reports an attempt that reached this process. The server knows the host by its connection.
func (o *remoteObserver) AttemptArrived(at time.Time, _ *audit.Host, router, requestID, class string, work float64) {
	o.send(message{RemoteEvent: audit.RemoteEvent{
		Kind: "arrived", At: at, Router: router, RequestID: requestID, Class: class, Work: work,
	}})
}

// AttemptRejected reports an attempt that this process rejected without starting it.
func (o *remoteObserver) AttemptRejected(_ *audit.Host, requestID string) {
	o.send(message{RemoteEvent: audit.RemoteEvent{Kind: "unseen", At: time.Now(), RequestID: requestID}})
}

// EffectApplied reports the effect of a request.
func (o *remoteObserver) EffectApplied(_ *audit.Host, requestID string) {
	o.send(message{RemoteEvent: audit.RemoteEvent{Kind: "ran", At: time.Now(), RequestID: requestID}})
}

func (o *remoteObserver) countRequest(build int, class string, latency time.Duration, failed bool) {
	o.send(message{
		RemoteEvent: audit.RemoteEvent{Kind: countKind, Class: class}, Build: build, Latency: latency, Failed: failed,
	})
}

// AddIfNew queries the server for a key and waits for the answer (see Deduplicator).
func (o *remoteObserver) AddIfNew(key string, window time.Duration) bool {
	answer := make(chan bool, 1)
	o.mu.Lock()
	o.queries++
	o.waiting[o.queries] = answer
	_ = o.encoder.Encode(message{Key: key, DedupWindow: window, QueryNumber: o.queries}) // errors are ignored as in send
	o.mu.Unlock()
	return <-answer
}

// ObserverServer receives the observations of backend processes, and looks up idempotency keys for them.
type ObserverServer struct {
	listener     net.Listener
	recorder     *audit.Recorder
	keys         *KeyStore
	countRequest RequestCounter
	hostID       func(address string) uint32

	accepted    sync.WaitGroup // the goroutine that accepts connections
	connections sync.WaitGroup // one goroutine per connection

	mu    sync.Mutex
	conns []net.Conn
}

// StartObserverServer starts a server that adds events to the recorder and calls countRequest for each response. hostID
// returns the id of the backend at an address.
func StartObserverServer(recorder *audit.Recorder, keys *KeyStore, countRequest RequestCounter,
	hostID func(string) uint32) (*ObserverServer, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, fmt.Errorf("observer server: %w", err)
	}
	s := &ObserverServer{listener: listener, recorder: recorder, keys: keys, countRequest: countRequest, hostID: hostID}
	s.accepted.Add(1)
	go func() {
		defer s.accepted.Done()
		s.accept()
	}()
	return s, nil
}

// accept serves connections until the listener is closed.
func (s *ObserverServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.connections.Add(1)
		go func() {
			defer s.connections.Done()
			defer closeAndLog("backend's connection", conn)
			s.serve(conn)
		}()
	}
}

// Address returns the host and port that the server listens on.
func (s *ObserverServer) Address() string { return s.listener.Addr().String() }

// Stop closes all connections, which makes the backend processes exit, and waits until nothing more is recorded.
func (s *ObserverServer) Stop() {
	closeAndLog("observer server", s.listener)
	s.accepted.Wait()
	s.mu.Lock()
	for _, conn := range s.conns {
		closeAndLog("backend's connection", conn)
	}
	s.mu.Unlock()
	s.connections.Wait()
}

// serve handles the messages of one backend until its connection ends.
func (s *ObserverServer) serve(conn net.Conn) {
	decoder, encoder := json.NewDecoder(bufio.NewReader(conn)), json.NewEncoder(conn)
	var r registration
	if err := decoder.Decode(&r); err != nil {
		slog.Warn("testbed: backend did not register", "error", err)
		return
	}
	backend := &Backend{Machine: r.Machine, StartedAt: r.StartedAt}
	host := &audit.Host{
		ID: s.hostID(r.Address), Build: r.Build, Zone: r.Machine.Zone, Cell: r.Machine.Cell, WarmUp: r.Machine.WarmUp,
		StartedAt: s.recorder.At(r.StartedAt),
	}
	host.Capacity = func(at time.Duration) float64 { return backend.capacity(at - host.StartedAt) }
	for {
		var m message
		if decoder.Decode(&m) != nil {
			return
		}
		switch {
		case m.QueryNumber > 0:
			answer := message{QueryNumber: m.QueryNumber, IsNew: s.keys.AddIfNew(m.Key, m.DedupWindow)}
			if encoder.Encode(answer) != nil {
				return
			}
		case m.Kind == countKind:
			s.countRequest(m.Build, m.Class, m.Latency, m.Failed)
		default:
			s.recorder.AddRemote(host, m.RemoteEvent)
		}
	}
}
