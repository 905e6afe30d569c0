package downstream

import (
	"net/http"
	"strconv"

	"dapplefront/internal/http1"
)

// A connection whose client reads nothing is closed when the bytes that wait for it pass unreadBodies times the largest
// body, and unreadSlack for heads.
const (
	unreadBodies = 4
	unreadSlack  = 1 << 16 // bytes
)

// pendingResponse is the place of one request's response; responses leave in the order of the requests.
type pendingResponse struct {
	conn       *clientConn
	request    *Request // nil once it is answered, or where none was handed to the handler
	id         string   // the client's id of the request; empty for none
	answered   bool     // by a response, or because none can reach the client
	closeAfter bool     // the response closes the connection
	omitBody   bool     // of the response to a HEAD request
	head       []byte   // of a response that waits for earlier ones
	body       []byte
}

// abandon gives up a response that can't reach the client.
func (p *pendingResponse) abandon() {
	if p.answered {
		return
	}
	p.markAnswered()
	if r := p.request; r != nil {
		p.request = nil
		r.OnClientGone()
	}
}

// markAnswered notes that no response is due any more.
func (p *pendingResponse) markAnswered() {
	s := p.conn.server
	p.answered = true
	s.unanswered--
	if p.id != "" && s.openByID[p.id] == p {
		delete(s.openByID, p.id)
	}
}

// refuse answers a request that is not accepted.
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

// respondText completes a head and sends a line of plain text as the body.
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

// endOfHead is the last lines of the response's head.
func (p *pendingResponse) endOfHead() string {
	if p.closeAfter {
		return "Connection: close\r\n\r\n"
	}
	return "\r\n"
}

// respond takes the response and writes all responses that are next in order. body is the caller's: it is copied where
// the response has to wait.
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
