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

// service is a control service whose answers a test writes byte by byte.
type service struct {
	net.Listener
	feeds chan net.Conn // each has been asked for and has its head
	votes chan string   // bodies
}

func newService(t *testing.T, vote func(net.Conn, string)) *service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &service{l, make(chan net.Conn, 20), make(chan string, 20)}
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

func say(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func answer(c net.Conn, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const where = `{"release":42,"tranche":1,"mode":"testing","exposure":0.28,"old_ms":310}`

var there = policy.ReleaseStatus{Build: 42, Stage: 1, Phase: policy.Canary, ExposureCap: 0.28, Age: 3100}

type told struct {
	news       chan policy.ReleaseStatus
	complaints chan api.Complaint
	troubles   chan error
}

func open(t *testing.T, s *service, within time.Duration) (*Client, told) {
	h := told{make(chan policy.ReleaseStatus, 20), make(chan api.Complaint, 20), make(chan error, 50)}
	l := Open(s.Addr().String(), within, func(unit string, _ time.Time) (uint32, bool) { return 7, unit == "s-1" },
		controlclient.Handler{Release: func(n policy.ReleaseStatus) { h.news <- n }, Complaint: func(c api.Complaint) { h.complaints <- c },
			Failed: func(err error) { h.troubles <- err }})
	t.Cleanup(l.Close)
	return l, h
}

func TestTheFeedTellsNewsAndComplaintsAndIsTakenUpAgain(t *testing.T) {
	s := newService(t, nil)
	_, h := open(t, s, time.Second)
	feed := <-s.feeds
	say(feed, "{}\n"+`{"type":"stage","object":`+where+"}\n")
	require.Equal(t, there, <-h.news)
	say(feed, `{"type":"flag","object":{"unit":"s-9","product":"x","old_ms":1}}`+"\n")
	say(feed, `{"type":"flag","object":{"unit":"s-1","pro`)
	say(feed, `duct":"lookup","old_ms":1200}}`+"\n")
	require.Equal(t, api.Complaint{Host: 7, Class: "lookup", AgeMs: 1200}, <-h.complaints)
	for _, noise := range []string{"noise\n", `{"type":"stage","object":{"release":43}}` + "\n",
		`{"type":"stage","object":{"release":43,"tranche":0,"mode":"odd","exposure":1,"old_ms":0}}` + "\n",
		`{"type":"stage","object":{"release":43,"tranche":0,"mode":"live","exposure":7,"old_ms":0}}` + "\n"} {
		say(feed, noise)
		require.Error(t, <-h.troubles)
		feed = <-s.feeds
		say(feed, "{}\n")
	}
	require.Empty(t, h.news, "what can't be read is no news")
	say(feed, `{"type":"stage","object":`+where)
	_ = feed.Close()
	feed = <-s.feeds
	require.Empty(t, h.news, "nor is half an object")
	say(feed, `{"type":"stage","object":`+where+"}\n")
	require.Equal(t, there, <-h.news)
}

func TestWhatBecomesOfAVote(t *testing.T) {
	counted := there
	counted.VoteResult = policy.VoteAccepted
	not := func(a policy.VoteResult) policy.ReleaseStatus {
		return policy.ReleaseStatus{Build: 42, Stage: 1, VoteResult: a}
	}
	for name, x := range map[string]struct {
		vote func(net.Conn, string)
		want policy.ReleaseStatus
	}{
		"counts":             {func(c net.Conn, _ string) { answer(c, 200, where) }, counted},
		"1xx in front":       {func(c net.Conn, _ string) { fmt.Fprint(c, "HTTP/1.1 103 Early\r\n\r\n"); answer(c, 200, where) }, counted},
		"too many":           {func(c net.Conn, _ string) { answer(c, 429, `{"error":"too_many_calls"}`) }, not(policy.VoteRejected)},
		"out of date":        {func(c net.Conn, _ string) { answer(c, 409, `{"error":"out_of_date"}`) }, not(policy.VoteStale)},
		"an error":           {func(c net.Conn, _ string) { answer(c, 500, `{"error":"unavailable"}`) }, not(policy.VoteRejected)},
		"no such call":       {func(c net.Conn, _ string) { answer(c, 400, `{"error":"bad_request"}`) }, not(policy.VoteRejected)},
		"other words":        {func(c net.Conn, _ string) { answer(c, 429, `{"error":"zzz"}`) }, not(policy.VoteUnknown)},
		"noise in the body":  {func(c net.Conn, _ string) { answer(c, 200, "\x01\x02") }, not(policy.VoteUnknown)},
		"noise":              {func(c net.Conn, _ string) { fmt.Fprint(c, "zzz\r\n\r\n") }, not(policy.VoteUnknown)},
		"cut":                {func(net.Conn, string) {}, not(policy.VoteUnknown)},
		"a part":             {func(c net.Conn, _ string) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", where) }, not(policy.VoteUnknown)},
		"news without stage": {func(c net.Conn, _ string) { answer(c, 200, `{"release":42}`) }, not(policy.VoteUnknown)},
	} {
		s := newService(t, x.vote)
		l, _ := open(t, s, 5*time.Second)
		done := make(chan policy.ReleaseStatus, 2)
		l.Vote(42, 1, policy.Promote, func(n policy.ReleaseStatus) { done <- n })
		require.Equal(t, x.want, <-done, name)
		require.JSONEq(t, `{"release":42,"tranche":1,"ruling":"go"}`, <-s.votes)
		require.Empty(t, s.votes, "a vote is cast once: %s", name)
	}
}

func TestAVoteThatNeverArrivedIsRefusedAndOneInSilenceIsUnclear(t *testing.T) {
	s := newService(t, func(net.Conn, string) { select {} })
	l, _ := open(t, s, 100*time.Millisecond)
	done := make(chan policy.ReleaseStatus, 1)
	l.Vote(42, 1, policy.Rollback, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteUnknown, (<-done).VoteResult)
	_ = s.Close()
	l.Vote(42, 1, policy.Rollback, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteRejected, (<-done).VoteResult)
}

func TestAnotherAddressIsGoneOverTo(t *testing.T) {
	old, next := newService(t, nil), newService(t, func(c net.Conn, _ string) { answer(c, 200, where) })
	l, h := open(t, old, time.Second)
	feed := <-old.feeds
	say(feed, "{}\n")
	l.Move(next.Addr().String())
	say(feed, `{"type":"stage","object":`+where+"}\n")
	require.Equal(t, there, <-h.news, "the old feed is heard until the new one speaks")
	say(<-next.feeds, "{}\n")
	_, err := feed.Read(make([]byte, 1))
	require.Error(t, err, "then it ends")
	done := make(chan policy.ReleaseStatus, 1)
	l.Vote(42, 1, policy.Promote, func(n policy.ReleaseStatus) { done <- n })
	require.Equal(t, policy.VoteAccepted, (<-done).VoteResult)
	require.Empty(t, old.votes)
}
