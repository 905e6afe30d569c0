package discovery

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/eds"
	"dapplefront/policy"
)

// fakeDiscovery is a discovery service whose watch says what a test has it say.
type fakeDiscovery struct {
	*httptest.Server
	mu       sync.Mutex
	requests []string
	lines    chan string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{lines: make(chan string, 20)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.requests = append(d.requests, r.URL.String())
		d.mu.Unlock()
		w.WriteHeader(200)
		for {
			select {
			case line := <-d.lines:
				if line == "end" {
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, line)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

// events is what a watch told.
type events struct {
	updates    chan []eds.Host
	keepAlives chan bool // nothing new, but a sign of life
	failed     chan error
	rejected   chan error
}

func openTestWatch(t *testing.T, d *fakeDiscovery, known EndpointList) (*Watch, []eds.Host, *events) {
	h := &events{make(chan []eds.Host, 20), make(chan bool, 20), make(chan error, 20), make(chan error, 20)}
	w, first := Open(d.address(), known, eds.Handler{Listed: func(whole bool, hosts []eds.Host) {
		if !whole && len(hosts) == 0 {
			h.keepAlives <- true
			return
		}
		h.updates <- hosts
	},
		Rejected: func(err error) { h.rejected <- err }, Failed: func(err error) { h.failed <- err }})
	t.Cleanup(w.Close)
	return w, first, h
}

func endpointJSON(id, phase string, build int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9000","locality":"here","cell":1,"phase":%q,"size":1.5,"up_since_ms":7,"revision_no":%d}`,
		id, phase, build)
}

func listJSON(revision int, complete bool, entries ...string) string {
	text := ""
	for i, e := range entries {
		if i > 0 {
			text += ","
		}
		text += e
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`+"\n", revision, complete, text)
}

func TestAWordThatComesBackUnderAnotherBuildIsAnotherHost(t *testing.T) {
	d := newFakeDiscovery(t)
	known := EndpointList{Revision: 40, Complete: true, Endpoints: []Endpoint{{ID: "a", HostPort: "127.0.0.1:1", Phase: "up", Build: 1}}}
	w, first, h := openTestWatch(t, d, known)
	require.Len(t, first, 1)
	old := first[0].ID
	w.Ask()
	d.lines <- listJSON(41, false, endpointJSON("a", "draining", 1))
	got := <-h.updates
	require.Equal(t, old, got[0].ID)
	require.Equal(t, policy.Draining, got[0].State)
	require.Equal(t, policy.Time(70), got[0].StartedAt)
	before := time.Now()
	time.Sleep(2 * time.Millisecond)
	d.lines <- listJSON(42, false, endpointJSON("a", "up", 2))
	got = <-h.updates
	require.Len(t, got, 2, "the old host goes as the new one comes")
	require.Equal(t, old, got[0].ID)
	require.Equal(t, policy.Removed, got[0].State)
	require.NotEqual(t, old, got[1].ID)
	n, ok := w.HostID("a", before)
	require.True(t, ok)
	require.Equal(t, old, n, "a complaint means the host that the word was then")
	n, _ = w.HostID("a", time.Now())
	require.Equal(t, got[1].ID, n)
	_, ok = w.HostID("b", time.Now())
	require.False(t, ok)
	d.lines <- listJSON(43, false, endpointJSON("a", "removed", 2))
	d.lines <- listJSON(44, false, endpointJSON("a", "up", 2))
	require.Equal(t, policy.Removed, (<-h.updates)[0].State)
	require.Equal(t, got[1].ID, (<-h.updates)[0].ID, "under the same build it is the same host, started anew")
	require.Equal(t, "/v1/endpoints?watch=1&from=40", d.requests[0])
}

func TestAListThatCanNotBeReadChangesNothingAndEndsTheWatch(t *testing.T) {
	for _, line := range []string{"noise\n", `{"revision":41}` + "\n", `{"revision":-1,"complete":true,"members":[]}` + "\n",
		`{"complete":true,"members":[]}` + "\n", listJSON(41, true, endpointJSON("", "up", 1)), listJSON(41, true, endpointJSON("a", "lost", 1)),
		listJSON(41, true, `{"id":"a","host_port":"nowhere","phase":"up"}`), listJSON(41, true, endpointJSON("a", "up", -1)), "\x00\xff\n"} {
		d := newFakeDiscovery(t)
		w, _, h := openTestWatch(t, d, EndpointList{Revision: 40})
		w.Ask()
		d.lines <- line
		require.Error(t, <-h.rejected, line)
		require.Error(t, <-h.failed, line)
		require.Empty(t, h.updates, line)
		path, _ := w.openWatch()
		require.Equal(t, "/v1/endpoints?watch=1&from=40", path)
	}
}

func TestHalfALineAtTheEndIsDroppedAndTheWatchGoesOnFromWhatWasHeard(t *testing.T) {
	d := newFakeDiscovery(t)
	w, _, h := openTestWatch(t, d, EndpointList{})
	w.Ask()
	d.lines <- listJSON(41, true, endpointJSON("a", "up", 1)) + "\n" + listJSON(42, false, endpointJSON("a", "removed", 1))[:30]
	require.Len(t, <-h.updates, 1)
	d.lines <- "end"
	require.Error(t, <-h.failed)
	require.Empty(t, h.updates)
	w.Ask()
	d.lines <- listJSON(42, false, endpointJSON("a", "removed", 1))
	require.Equal(t, policy.Removed, (<-h.updates)[0].State)
	require.Equal(t, "/v1/endpoints?watch=1&from=41", d.requests[1])
}

func TestTheOldAddressIsHeardUntilTheNewOneSpeaks(t *testing.T) {
	old, next := newFakeDiscovery(t), newFakeDiscovery(t)
	w, _, h := openTestWatch(t, old, EndpointList{})
	w.Ask()
	old.lines <- listJSON(41, true, endpointJSON("a", "up", 1))
	<-h.updates
	w.SetAddress(next.address())
	old.lines <- listJSON(42, false, endpointJSON("b", "up", 1))
	require.Len(t, <-h.updates, 1)
	next.lines <- listJSON(42, false, endpointJSON("b", "up", 1)) // told already
	<-h.keepAlives
	next.lines <- listJSON(43, false, endpointJSON("c", "up", 1))
	got := <-h.updates
	require.Len(t, got, 1)
	n, ok := w.HostID("c", time.Now())
	require.True(t, ok && n == got[0].ID)
	require.Empty(t, h.failed, "that the old one ends is no failure")
	next.lines <- "end"
	require.Error(t, <-h.failed)
}

func TestAServiceThatIsDownIsAFailureEachTimeItIsAsked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_ = l.Close()
	d := &fakeDiscovery{Server: &httptest.Server{Listener: l}}
	w, _, h := openTestWatch(t, d, EndpointList{})
	for range 2 {
		w.Ask()
		var op *net.OpError
		require.True(t, errors.As(<-h.failed, &op))
	}
}
