package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dapplefront/internal/api"
	"dapplefront/policy"
)

const (
	// timeoutGrace is how much longer a client waits than the timeout that it sends to the router, so that it still receives
	// the router's response to an expired timeout.
	timeoutGrace = time.Second

	minComplaintDelay   = 500 * time.Millisecond
	complaintDelayRange = 2 * time.Second
)

// clientAttempt is one attempt of a request.
type clientAttempt struct {
	*clientRequest
	number   int           // 0 for the first attempt
	timeout  time.Duration // what remains of the request's timeout
	behavior Behavior
}

func (a *clientAttempt) attemptID() string { return fmt.Sprintf("%s.%d", a.requestID, a.number) }

// attempt sends a request once. It returns a Score in which only the outcome of this attempt is counted, and the minimum
// delay before a retry, or 0 if there is none.
func (c *Clients) attempt(a *clientAttempt) (outcome Score, retryAfter time.Duration) {
	address := c.addressOf(a.target)
	start := time.Now()
	conn, err := c.connect(address)
	if err != nil {
		c.requestSent(a, time.Now())
		c.recorder.ConnectFailed(a.attemptID())
		return Score{Refused: 1}, connectRetryAfter
	}
	_ = conn.SetDeadline(start.Add(a.givesUpAfter())) // fails only on a closed connection, on which the exchange fails too
	response, err := c.exchange(a, conn)
	if err != nil {
		closeAndLog("connection after an error", conn)
		if isTimeout(err) {
			c.recorder.ClientDisconnected(a.attemptID())
			return Score{TimedOut: 1}, 0
		}
		c.recorder.ConnectionLost(a.attemptID())
		return Score{Lost: 1}, 0
	}
	c.recorder.ResponseReceived(conn.lastReceived(), a.attemptID(), response.header.Get(headerOutcome))
	c.release(address, conn, response.closes)
	return c.evaluate(a, response, start)
}

// givesUpAfter returns how long after the start of the attempt the client abandons it.
func (a *clientAttempt) givesUpAfter() time.Duration {
	if a.random.Float64() < a.behavior.AbandonRate {
		return time.Duration(a.random.Float64() * float64(a.class.LatencyObjective))
	}
	return a.timeout + timeoutGrace
}

// request returns the text of the attempt in HTTP/1.1.
func (a *clientAttempt) request() string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %dms\r\n", a.class.Path, a.target.Name,
		headerRequestID, a.attemptID(), headerTimeout, a.timeout.Milliseconds())
	if a.class.Idempotency == policy.IdempotentWithKey {
		fmt.Fprintf(&text, "%s: %s\r\n", headerIdempotencyKey, a.requestID)
	}
	if a.failsAlways {
		fmt.Fprintf(&text, "%s: 1\r\n", headerFailsAlways)
	}
	if a.number > 0 {
		fmt.Fprintf(&text, "%s: 1\r\n", headerClientRetry)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(a.attemptID()), a.attemptID())
	return text.String()
}

// clientResponse is a complete response.
type clientResponse struct {
	status int
	header http.Header
	body   []byte
	closes bool // the router closes the connection after the response
}

func (c *Clients) requestSent(a *clientAttempt, at time.Time) {
	c.recorder.RequestSent(at, a.attemptID(), a.requestID, a.target.Name, a.class.Name, a.timeout)
}

// exchange writes a request and reads the complete response. It fails at the connection's deadline.
func (c *Clients) exchange(a *clientAttempt, conn *clientConn) (*clientResponse, error) {
	request, earliest := a.request(), time.Now()
	_, err := io.WriteString(conn, request)
	c.requestSent(a, conn.lastSent(earliest))
	if err != nil {
		return nil, err
	}
	return conn.readResponse()
}

// readResponse reads a complete response.
func (c *clientConn) readResponse() (*clientResponse, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	return &clientResponse{status: response.StatusCode, header: response.Header, body: body, closes: response.Close}, nil
}

// evaluate derives the outcome of an attempt and the minimum delay before a retry from the response. It sends a complaint
// for a share of the wrong responses (Behavior.ComplaintRate).
func (c *Clients) evaluate(a *clientAttempt, response *clientResponse, start time.Time) (Score, time.Duration) {
	switch outcome := response.header.Get(headerOutcome); {
	case outcome == outcomeSucceeded && response.status == http.StatusOK:
		if !bytes.HasPrefix(response.body, []byte(bodyWrong)) {
			return Score{InTime: 1}, 0
		}
		if a.random.Float64() < a.behavior.ComplaintRate {
			c.complain(a.target.Name, response.header.Get(headerBackend), a.class.Name, time.Since(start), a.random)
		}
		return Score{InTime: 1, Wrong: 1}, 0
	case outcome == outcomeRejected:
		retryAfterMs, _ := strconv.Atoi(response.header.Get(headerRetryAfter)) // 0 if the header is absent
		return Score{Rejected: 1}, time.Duration(retryAfterMs) * time.Millisecond
	case outcome == outcomeFailed:
		return Score{Failed: 1}, 0
	default:
		return Score{Refused: 1}, 0
	}
}

// complain reports a wrong response to the release controller 0.5 to 2.5 seconds after its receipt. A complaint that can't be
// delivered, for example while the controller is down, is dropped.
func (c *Clients) complain(router, backend, class string, latency time.Duration, random *rand.Rand) {
	id, err := strconv.ParseUint(backend, 10, 32)
	if c.controllerURL == "" || err != nil {
		return
	}
	delay := minComplaintDelay + time.Duration(random.Float64()*float64(complaintDelayRange))
	time.AfterFunc(delay, func() {
		body, err := json.Marshal(api.Complaint{
			Router: router, Host: uint32(id), Class: class, AgeMs: (latency + delay).Milliseconds(),
		})
		if err != nil {
			panic(err) // can't happen: a struct of strings and numbers
		}
		response, err := c.controller.Post(c.controllerURL+"/v1/complaints", "application/json", bytes.NewReader(body))
		if err != nil {
			return
		}
		if err := response.Body.Close(); err != nil {
			slog.Warn("testbed: close failed", "subject", "response to a complaint", "error", err)
		}
	})
}
