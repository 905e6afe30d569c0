package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/api"
	"dapplefront/internal/controlclient"
	"dapplefront/policy"
)

// fakePlatform is a control service whose answers a test writes byte by byte.
type fakePlatform struct {
	net.Listener
	feeds chan net.Conn // each has been asked for and has its head
	votes chan string   // bodies
}

func newFakePlatform(t *testing.T, vote func(net.Conn, string)) *fakePlatform {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakePlatform{l, make(chan net.Conn, 20), make(chan string, 20)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					_ = c.Close()
					return
				}
				if r.URL.Path == "/apis/fleet/feed" {
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					s.feeds <- c
					return
				}
				body, _ := io.ReadAll(r.Body)
				s.votes <- string(body)
				vote(c, string(body))
				_ = c.Close()
			}()
		}
	}()
	return s
}

func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func writeResponse(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const statusJSON = `{"release":42,"tranche":1,"mode":"testing","exposure":0.28,"old_ms":310}`

var status = policy.ReleaseStatus{Build: 42, Stage: 1, Phase: policy.Canary, ExposureCap: 0.28, Age: 3100}

type events struct {
	releases   chan policy.ReleaseStatus
	complaints chan api.Complaint
	failures   chan error
}

func openTestClient(t *testing.T, s *fakePlatform, within time.Duration) (*Client, events) {
	h := events{make(chan policy.ReleaseStatus, 20), make(chan api.Complaint, 20), make(chan error, 50)}
	l := Open(s.Addr().String(), within, func(unit string, _ time.Time) (uint32, bool) { return 7, unit == "s-1" },
		controlclient.Handler{Release: func(n policy.ReleaseStatus) { h.releases <- n }, Complaint: func(c api.Complaint) { h.complaints <- c },
			Failed: func(err error) { h.failures <- err }})
	t.Cleanup(l.Close)
	return l, h
}

func TestTheFeedTellsNewsAndComplaintsAndIsTakenUpAgain(t *testing.T) {
	s := newFakePlatform(t, nil)
	_, h := openTestClient(t, s, time.Second)
	feed := <-s.feeds
	writeChunk(feed, "{}\n"+`{"type":"stage","object":`+statusJSON+"}\n")
	require.Equal(t, status, <-h.releases)
	writeChunk(feed, `{"type":"flag","object":{"unit":"s-9","product":"x","old_ms":1}}`+"\n")
	writeChunk(feed, `{"type":"flag","object":{"unit":"s-1","pro`)
	writeChunk(feed, `duct":"lookup","old_ms":1200}}`+"\n")
	require.Equal(t, api.Complaint{Host: 7, Class: "lookup", AgeMs: 1200}, <-h.complaints)
	for _, noise := range []string{"noise\n", `{"type":"stage","object":{"release":43}}` + "\n",
		`{"type":"stage","object":{"release":43,"tranche":0,"mode":"odd","exposure":1,"old_ms":0}}` + "\n",
		`{"type":"stage","object":{"release":43,"tranche":0,"mode":"live","exposure":7,"old_ms":0}}` + "\n"} {
		writeChunk(feed, noise)
		require.Error(t, <-h.failures)
		feed = <-s.feeds
		writeChunk(feed, "{}\n")
	}
	require.Empty(t, h.releases, "what can't be read is no news")
	writeChunk(feed, `{"type":"stage","object":`+statusJSON)
	_ = feed.Close()
	feed = <-s.feeds
	require.Empty(t, h.releases, "nor is half an object")
	writeChunk(feed, `{"type":"stage","object":`+statusJSON+"}\n")
	require.Equal(t, status, <-h.releases)
}

func TestWhatBecomesOfAVote(t *testing.T) {
	counted := status
	counted.VoteResult = policy.VoteAccepted
	not := func(a policy.VoteResult) policy.ReleaseStatus {
		return policy.ReleaseStatus{Build: 42, Stage: 1, VoteResult: a}
	}
	for name, x := range map[string]struct {
		vote func(net.Conn, string)
		want policy.ReleaseStatus
	}{
		"counts": {func(c net.Conn, _ string) { writeResponse(c, 200, statusJSON) }, counted},
		"1xx in front": {func(c net.Conn, _ string) {
			fmt.Fprint(c, "HTTP/1.1 103 Early\r\n\r\n")
			writeResponse(c, 200, statusJSON)
		}, counted},
		"too many":          {func(c net.Conn, _ string) { writeResponse(c, 429, `{"error":"too_many_calls"}`) }, not(policy.VoteRejected)},
		"out of date":       {func(c net.Conn, _ string) { writeResponse(c, 409, `{"error":"out_of_date"}`) }, not(policy.VoteStale)},
		"an error":          {func(c net.Conn, _ string) { writeResponse(c, 500, `{"error":"unavailable"}`) }, not(policy.VoteRejected)},
		"no such call":      {func(c net.Conn, _ string) { writeResponse(c, 400, `{"error":"bad_request"}`) }, not(policy.VoteRejected)},
		"other words":       {func(c net.Conn, _ string) { writeResponse(c, 429, `{"error":"zzz"}`) }, not(policy.VoteUnknown)},
		"noise in the body": {func(c net.Conn, _ string) { writeResponse(c, 200, "\x01\x02") }, not(policy.VoteUnknown)},
		"noise":             {func(c net.Conn, _ string) { fmt.Fprint(c, "zzz\r\n\r\n") }, not(policy.VoteUnknown)},
		"cut":               {func(net.Conn, string) {}, not(policy.VoteUnknown)},
		"a part": {func(c net.Conn, _ string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", statusJSON)
		}, not(policy.VoteUnknown)},
		"news without stage": {func(c net.Conn, _ string) { writeResponse(c, 200, `{"release":42}`) }, not(policy.VoteUnknown)},
	} {
		s := newFakePlatform(t, x.vote)
		l, _ := openTestClient(t, s, 5*time.Second)
		done := make(chan policy.ReleaseStatus, 2)
		l.Vote(42, 1, policy.Promote, func(n policy.ReleaseStatus) { done <- n })
		require.Equal(t, x.want, <-done, name)
		require.JSONEq(t, `{"release":42,"tranche":1,"ruling":"go"}`, <-s.votes)
		require.Empty(t, s.votes, "a vote is cast once: %s", name)
	}
}

func TestAVoteThatNeverArrivedIsRefusedAndOneInSilenceIsUnclear(t *testing.T) {
	s := newFakePlatform(t, func(net.Conn, string) { select {} })
	l, _ := openTestClient(t, s, 100*time.Millisecond)
	done := make(chan policy.ReleaseStatus, 1)
	l.Vote(42, 1, policy.Rollback, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteUnknown, (<-done).VoteResult)
	_ = s.Close()
	l.Vote(42, 1, policy.Rollback, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteRejected, (<-done).VoteResult)
}

func TestAnotherAddressIsGoneOverTo(t *testing.T) {
	old, next := newFakePlatform(t, nil), newFakePlatform(t, func(c net.Conn, _ string) { writeResponse(c, 200, statusJSON) })
	l, h := openTestClient(t, old, time.Second)
	feed := <-old.feeds
	writeChunk(feed, "{}\n")
	l.SetAddress(next.Addr().String())
	writeChunk(feed, `{"type":"stage","object":`+statusJSON+"}\n")
	require.Equal(t, status, <-h.releases, "the old feed is heard until the new one speaks")
	writeChunk(<-next.feeds, "{}\n")
	_, err := feed.Read(make([]byte, 1))
	require.Error(t, err, "then it ends")
	done := make(chan policy.ReleaseStatus, 1)
	l.Vote(42, 1, policy.Promote, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteAccepted, (<-done).VoteResult)
	require.Empty(t, old.votes)
}
