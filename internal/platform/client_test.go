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

// fakePlatform is a control service whose responses the test writes byte by byte.
type fakePlatform struct {
	net.Listener
	feeds chan net.Conn // open feeds whose response head has been sent
	votes chan string   // bodies of votes
}

func newFakePlatform(t *testing.T, vote func(net.Conn, string)) *fakePlatform {
	t.Helper()
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
					_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
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

func writeChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func writeResponse(c net.Conn, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const statusJSON = `{"release":42,"tranche":1,"mode":"testing","exposure":0.28,"old_ms":310}`

var status = policy.ReleaseStatus{Build: 42, Stage: 1, Phase: policy.Canary, ExposureCap: 0.28, Age: 3100}

type events struct {
	releases   chan policy.ReleaseStatus
	complaints chan api.Complaint
	failures   chan error
}

func openTestClient(t *testing.T, s *fakePlatform, voteTimeout time.Duration) (*Client, events) {
	t.Helper()
	h := events{make(chan policy.ReleaseStatus, 20), make(chan api.Complaint, 20), make(chan error, 50)}
	c := Open(s.Addr().String(), voteTimeout, func(endpoint string, _ time.Time) (uint32, bool) { return 7, endpoint == "s-1" },
		controlclient.Handler{Release: func(n policy.ReleaseStatus) { h.releases <- n }, Complaint: func(c api.Complaint) { h.complaints <- c },
			Failed: func(err error) { h.failures <- err }})
	t.Cleanup(c.Close)
	return c, h
}

func TestFeed_ReportsStatusesAndComplaintsAndReopens(t *testing.T) {
	s := newFakePlatform(t, nil)
	_, h := openTestClient(t, s, time.Second)
	feed := <-s.feeds
	writeChunk(feed, "{}\n"+`{"type":"stage","object":`+statusJSON+"}\n")
	require.Equal(t, status, <-h.releases)
	writeChunk(feed, `{"type":"flag","object":{"unit":"s-9","product":"x","old_ms":1}}`+"\n")
	writeChunk(feed, `{"type":"flag","object":{"unit":"s-1","pro`)
	writeChunk(feed, `duct":"lookup","old_ms":1200}}`+"\n")
	require.Equal(t, api.Complaint{Host: 7, Class: "lookup", AgeMs: 1200}, <-h.complaints)
	for _, invalid := range []string{"noise\n", `{"type":"stage","object":{"release":43}}` + "\n",
		`{"type":"stage","object":{"release":43,"tranche":0,"mode":"odd","exposure":1,"old_ms":0}}` + "\n",
		`{"type":"stage","object":{"release":43,"tranche":0,"mode":"live","exposure":7,"old_ms":0}}` + "\n"} {
		writeChunk(feed, invalid)
		require.Error(t, <-h.failures)
		feed = <-s.feeds
		writeChunk(feed, "{}\n")
	}
	require.Empty(t, h.releases, "an invalid message is not reported")
	writeChunk(feed, `{"type":"stage","object":`+statusJSON)
	_ = feed.Close()
	feed = <-s.feeds
	require.Empty(t, h.releases, "a partial message is not reported")
	writeChunk(feed, `{"type":"stage","object":`+statusJSON+"}\n")
	require.Equal(t, status, <-h.releases)
}

func TestVote_MapsResponseToResult(t *testing.T) {
	accepted := status
	accepted.VoteResult = policy.VoteAccepted
	unaccepted := func(a policy.VoteResult) policy.ReleaseStatus {
		return policy.ReleaseStatus{Build: 42, Stage: 1, VoteResult: a}
	}
	for name, x := range map[string]struct {
		vote func(net.Conn, string)
		want policy.ReleaseStatus
	}{
		"accepted": {func(c net.Conn, _ string) { writeResponse(c, 200, statusJSON) }, accepted},
		"informational response first": {func(c net.Conn, _ string) {
			_, _ = fmt.Fprint(c, "HTTP/1.1 103 Early\r\n\r\n")
			writeResponse(c, 200, statusJSON)
		}, accepted},
		"rate limit":         {func(c net.Conn, _ string) { writeResponse(c, 429, `{"error":"too_many_calls"}`) }, unaccepted(policy.VoteRejected)},
		"stale":              {func(c net.Conn, _ string) { writeResponse(c, 409, `{"error":"out_of_date"}`) }, unaccepted(policy.VoteStale)},
		"internal error":     {func(c net.Conn, _ string) { writeResponse(c, 500, `{"error":"unavailable"}`) }, unaccepted(policy.VoteRejected)},
		"bad request":        {func(c net.Conn, _ string) { writeResponse(c, 400, `{"error":"bad_request"}`) }, unaccepted(policy.VoteRejected)},
		"unknown error":      {func(c net.Conn, _ string) { writeResponse(c, 429, `{"error":"zzz"}`) }, unaccepted(policy.VoteUnknown)},
		"malformed body":     {func(c net.Conn, _ string) { writeResponse(c, 200, "\x01\x02") }, unaccepted(policy.VoteUnknown)},
		"malformed response": {func(c net.Conn, _ string) { _, _ = fmt.Fprint(c, "zzz\r\n\r\n") }, unaccepted(policy.VoteUnknown)},
		"connection closed":  {func(net.Conn, string) {}, unaccepted(policy.VoteUnknown)},
		"partial body": {func(c net.Conn, _ string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", statusJSON)
		}, unaccepted(policy.VoteUnknown)},
		"status without stage": {func(c net.Conn, _ string) { writeResponse(c, 200, `{"release":42}`) }, unaccepted(policy.VoteUnknown)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakePlatform(t, x.vote)
			c, _ := openTestClient(t, s, 5*time.Second)
			done := make(chan policy.ReleaseStatus, 2)
			c.Vote(42, 1, policy.Promote, func(n policy.ReleaseStatus) { done <- n })
			require.Equal(t, x.want, <-done)
			require.JSONEq(t, `{"release":42,"tranche":1,"ruling":"go"}`, <-s.votes)
			require.Empty(t, s.votes, "a vote is sent only once")
		})
	}
}

func TestVote_IsUnknownWithoutResponseAndRejectedIfNotSent(t *testing.T) {
	s := newFakePlatform(t, func(net.Conn, string) { select {} })
	c, _ := openTestClient(t, s, 100*time.Millisecond)
	done := make(chan policy.ReleaseStatus, 1)
	c.Vote(42, 1, policy.Rollback, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteUnknown, (<-done).VoteResult)
	_ = s.Close()
	c.Vote(42, 1, policy.Rollback, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteRejected, (<-done).VoteResult)
}

func TestSetAddress_MovesFeedAndVotes(t *testing.T) {
	old, next := newFakePlatform(t, nil), newFakePlatform(t, func(c net.Conn, _ string) { writeResponse(c, 200, statusJSON) })
	c, h := openTestClient(t, old, time.Second)
	feed := <-old.feeds
	writeChunk(feed, "{}\n")
	c.SetAddress(next.Addr().String())
	writeChunk(feed, `{"type":"stage","object":`+statusJSON+"}\n")
	require.Equal(t, status, <-h.releases, "the old feed is read until the new one responds")
	writeChunk(<-next.feeds, "{}\n")
	_, err := feed.Read(make([]byte, 1))
	require.Error(t, err, "the old feed is closed once the new one has responded")
	done := make(chan policy.ReleaseStatus, 1)
	c.Vote(42, 1, policy.Promote, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteAccepted, (<-done).VoteResult)
	require.Empty(t, old.votes)
}
