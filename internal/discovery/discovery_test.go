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

// desk is a discovery service whose watch says what a test has it say.
type desk struct {
	*httptest.Server
	mu    sync.Mutex
	asked []string
	lines chan string
}

func newDesk(t *testing.T) *desk {
	d := &desk{lines: make(chan string, 20)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.asked = append(d.asked, r.URL.String())
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

func (d *desk) address() string { return d.Listener.Addr().String() }

// heard is what a watch told.
type heard struct {
	lists  chan []eds.Host
	stale  chan bool // nothing new, but a sign of life
	failed chan error
	turned chan error
}

func watch(t *testing.T, d *desk, known List) (*Watch, []eds.Host, *heard) {
	h := &heard{make(chan []eds.Host, 20), make(chan bool, 20), make(chan error, 20), make(chan error, 20)}
	w, first := Open(d.address(), known, eds.Handler{Listed: func(whole bool, hosts []eds.Host) {
		if !whole && len(hosts) == 0 {
			h.stale <- true
			return
		}
		h.lists <- hosts
	},
		Rejected: func(err error) { h.turned <- err }, Failed: func(err error) { h.failed <- err }})
	t.Cleanup(w.Close)
	return w, first, h
}

func entry(id, phase string, build int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":"127.0.0.1:9000","locality":"here","cell":1,"phase":%q,"size":1.5,"up_since_ms":7,"revision_no":%d}`,
		id, phase, build)
}

func list(revision int, complete bool, entries ...string) string {
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
	d := newDesk(t)
	known := List{Revision: 40, Complete: true, Members: []Entry{{ID: "a", HostPort: "127.0.0.1:1", Phase: "up", Build: 1}}}
	w, first, h := watch(t, d, known)
	require.Len(t, first, 1)
	old := first[0].ID
	w.Ask()
	d.lines <- list(41, false, entry("a", "draining", 1))
	got := <-h.lists
	require.Equal(t, old, got[0].ID)
	require.Equal(t, policy.Draining, got[0].State)
	require.Equal(t, policy.Time(70), got[0].StartedAt)
	before := time.Now()
	time.Sleep(2 * time.Millisecond)
	d.lines <- list(42, false, entry("a", "up", 2))
	got = <-h.lists
	require.Len(t, got, 2, "the old host goes as the new one comes")
	require.Equal(t, old, got[0].ID)
	require.Equal(t, policy.Removed, got[0].State)
	require.NotEqual(t, old, got[1].ID)
	n, ok := w.Number("a", before)
	require.True(t, ok)
	require.Equal(t, old, n, "a complaint means the host that the word was then")
	n, _ = w.Number("a", time.Now())
	require.Equal(t, got[1].ID, n)
	_, ok = w.Number("b", time.Now())
	require.False(t, ok)
	d.lines <- list(43, false, entry("a", "removed", 2))
	d.lines <- list(44, false, entry("a", "up", 2))
	require.Equal(t, policy.Removed, (<-h.lists)[0].State)
	require.Equal(t, got[1].ID, (<-h.lists)[0].ID, "under the same build it is the same host, started anew")
	require.Equal(t, "/v1/endpoints?watch=1&from=40", d.asked[0])
}

func TestAListThatCanNotBeReadChangesNothingAndEndsTheWatch(t *testing.T) {
	for _, line := range []string{"noise\n", `{"revision":41}` + "\n", `{"revision":-1,"complete":true,"members":[]}` + "\n",
		`{"complete":true,"members":[]}` + "\n", list(41, true, entry("", "up", 1)), list(41, true, entry("a", "lost", 1)),
		list(41, true, `{"id":"a","host_port":"nowhere","phase":"up"}`), list(41, true, entry("a", "up", -1)), "\x00\xff\n"} {
		d := newDesk(t)
		w, _, h := watch(t, d, List{Revision: 40})
		w.Ask()
		d.lines <- line
		require.Error(t, <-h.turned, line)
		require.Error(t, <-h.failed, line)
		require.Empty(t, h.lists, line)
		path, _ := w.open()
		require.Equal(t, "/v1/endpoints?watch=1&from=40", path)
	}
}

func TestHalfALineAtTheEndIsDroppedAndTheWatchGoesOnFromWhatWasHeard(t *testing.T) {
	d := newDesk(t)
	w, _, h := watch(t, d, List{})
	w.Ask()
	d.lines <- list(41, true, entry("a", "up", 1)) + "\n" + list(42, false, entry("a", "removed", 1))[:30]
	require.Len(t, <-h.lists, 1)
	d.lines <- "end"
	require.Error(t, <-h.failed)
	require.Empty(t, h.lists)
	w.Ask()
	d.lines <- list(42, false, entry("a", "removed", 1))
	require.Equal(t, policy.Removed, (<-h.lists)[0].State)
	require.Equal(t, "/v1/endpoints?watch=1&from=41", d.asked[1])
}

func TestTheOldAddressIsHeardUntilTheNewOneSpeaks(t *testing.T) {
	old, next := newDesk(t), newDesk(t)
	w, _, h := watch(t, old, List{})
	w.Ask()
	old.lines <- list(41, true, entry("a", "up", 1))
	<-h.lists
	w.Move(next.address())
	old.lines <- list(42, false, entry("b", "up", 1))
	require.Len(t, <-h.lists, 1)
	next.lines <- list(42, false, entry("b", "up", 1)) // told already
	<-h.stale
	next.lines <- list(43, false, entry("c", "up", 1))
	got := <-h.lists
	require.Len(t, got, 1)
	n, ok := w.Number("c", time.Now())
	require.True(t, ok && n == got[0].ID)
	require.Empty(t, h.failed, "that the old one ends is no failure")
	next.lines <- "end"
	require.Error(t, <-h.failed)
}

func TestAServiceThatIsDownIsAFailureEachTimeItIsAsked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_ = l.Close()
	d := &desk{Server: &httptest.Server{Listener: l}}
	w, _, h := watch(t, d, List{})
	for range 2 {
		w.Ask()
		var op *net.OpError
		require.True(t, errors.As(<-h.failed, &op))
	}
}
