package downstream

import (
	"net/http"
	"strconv"

	"dapplefront/internal/http1"
)

// A connection whose client does not read is closed when its unsent bytes exceed unreadBodies times Config.Limits.Body, plus
// unreadSlack for the heads.
const (
	unreadBodies = 4
	unreadSlack  = 1 << 16 // bytes
)

// pendingResponse is the response that is due to one request. Responses are written in the order of the requests.
type pendingResponse struct {
	conn       *clientConn
	request    *Request // nil once the response has been set, or if the request was not passed to the handler
	id         string   // the id that the client gave the request; empty if there is none
	handled    bool     // the request was passed to the handler, which frees its id by Request.Complete
	answered   bool     // the response has been set, or can't reach the client
	closeAfter bool     // the connection is closed after the response
	omitBody   bool     // the request is a HEAD request
	head       []byte   // head and body of a response that waits for earlier ones
	body       []byte
}

// abandon marks a response that can't reach the client as answered and calls OnClientDisconnected.
func (p *pendingResponse) abandon() {
	if p.answered {
		return
	}
	p.markAnswered()
	if r := p.request; r != nil {
		p.request = nil
		r.OnClientDisconnected()
	}
}

// markAnswered records that the response is no longer due.
func (p *pendingResponse) markAnswered() {
	s := p.conn.server
	p.answered = true
	s.unanswered--
	if !p.handled {
		p.freeID(false)
	}
}

// freeID ends the registration of the request's id. executed means that the request may have run and that its client was not
// sent a host's response.
func (p *pendingResponse) freeID(executed bool) {
	if p.id != "" {
		s := p.conn.server
		s.ids.remove(p.id, executed, s.loop.Now())
		p.id = ""
	}
}

// refuse responds with an error to a request that is not accepted.
func (p *pendingResponse) refuse(err *http1.Error) {
	head := appendStatus(make([]byte, 0, 256), err.Status, reasonPhrases[err.Status])
	if err.Status == http.StatusServiceUnavailable {
		head = http1.AppendField(head, "Retry-After", "1")
	}
	p.respondText(head, err.Text)
}

var reasonPhrases = map[int]string{
	http.StatusBadRequest:                  "Bad Request",
	http.StatusNotFound:                    "Not Found",
	http.StatusMethodNotAllowed:            "Method Not Allowed",
	http.StatusRequestTimeout:              "Request Timeout",
	http.StatusRequestEntityTooLarge:       "Content Too Large",
	http.StatusRequestHeaderFieldsTooLarge: "Request Header Fields Too Large",
	http.StatusNotImplemented:              "Not Implemented",
	http.StatusServiceUnavailable:          "Service Unavailable",
	http.StatusHTTPVersionNotSupported:     "HTTP Version Not Supported",
}

// respondText completes a head and responds with a line of plain text as the body.
func (p *pendingResponse) respondText(head []byte, text string) {
	head = http1.AppendField(head, "Content-Type", "text/plain; charset=utf-8")
	head = http1.AppendField(head, "Content-Length", strconv.Itoa(len(text)+1))
	head = append(head, p.endOfHead()...)
	if p.omitBody {
		p.respond(head, nil)
		return
	}
	p.respond(append(append(head, text...), '\n'), nil)
}

// endOfHead returns the last lines of the response's head.
func (p *pendingResponse) endOfHead() string {
	if p.closeAfter {
		return "Connection: close\r\n\r\n"
	}
	return "\r\n"
}

// respond sets the response and writes all responses that are ready, in the order of the requests. The caller may reuse
// body afterwards: it is copied if the response has to wait for earlier ones.
func (p *pendingResponse) respond(head, body []byte) {
	if p.answered {
		return
	}
	p.request = nil
	p.markAnswered()
	c := p.conn
	if len(c.pending) > 1 && c.pending[0] != p {
		p.head, p.body = head, append([]byte(nil), body...)
		return
	}
	p.head, p.body = head, body
	c.writeResponses()
}

func appendStatus(to []byte, status int, phrase string) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(status), 10)
	to = append(to, ' ')
	to = append(to, phrase...)
	return append(to, '\r', '\n')
}
