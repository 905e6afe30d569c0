package http1

// Event is the result of a call of Read.
type Event int

// Results of Read.
const (
	NeedMore    Event = iota // all data was read, and the message is not complete
	HeadRead                 // the head of a message is complete: Peek returns it, without its body
	MessageRead              // the message is complete: call Take before the next Read
)

// Limits are the limits of one message. Head and Body are in bytes, and at least 1.
type Limits struct {
	Head           int // start line and header fields
	Body           int
	RequireFraming bool // a response must have a length or be chunked; otherwise a lost connection would look like its end
}

type readState int

// States of a reader. A message goes through some of them, in this order; chunks repeat theirs.
const (
	readingHead      readState = iota
	headComplete               // it is not yet known how the body is framed
	readingBody                // a body with a Content-Length
	readingChunkSize           // the line before a chunk
	readingChunk               // a chunk's data
	readingChunkEnd            // the line end after a chunk
	readingTrailer             // the fields after the last chunk, which are ignored
	readingToEnd               // a response's body that ends with the connection
	messageComplete
)

// Reader reads messages from pieces of data. Use NewReader, as the zero Reader is not usable.
type Reader struct {
	limits   Limits
	budget   *Budget
	response bool // the messages are responses, not requests
	noBody   bool // the response is to a HEAD request

	state     readState
	message   *Message // set from headComplete on
	buffer    []byte   // an incomplete head, or an incomplete line of the chunk framing; its capacity is reserved
	searched  int      // number of bytes of buffer that were searched for the head's end
	lines     int      // number of line ends in an incomplete head
	skipped   int      // number of bytes of empty lines before the head
	remaining int      // bytes of the body or chunk that have not been read; in the trailer, bytes that have been read
}

// NewReader returns a reader of responses if response is true, or else of requests. What it has read of a message holds bytes
// of the budget until Message.Drop or Drop. If budget is nil, only the limits apply.
func NewReader(limits Limits, budget *Budget, response bool) *Reader {
	return &Reader{limits: limits, budget: budget, response: response}
}

// Expect sets, before a response arrives, whether it is to a HEAD request and therefore has no body.
func (r *Reader) Expect(head bool) { r.noBody = head }

// Idle reports whether no byte of a message has been read yet.
func (r *Reader) Idle() bool { return r.state == readingHead && len(r.buffer) == 0 }

// Peek returns the message that is being read, after HeadRead.
func (r *Reader) Peek() *Message { return r.message }

// Take returns the complete message. The next bytes start another message.
func (r *Reader) Take() *Message {
	m := r.message
	r.freeBuffer()
	r.message, r.state, r.searched, r.skipped, r.lines = nil, readingHead, 0, 0, 0
	return m
}

// Held returns how many bytes of the budget the message that is being read holds.
func (r *Reader) Held() int {
	if r.message == nil {
		return cap(r.buffer)
	}
	return cap(r.buffer) + r.message.reserved
}

// Drop drops the message that is being read and returns its bytes to the budget.
func (r *Reader) Drop() {
	if r.message != nil {
		r.message.Drop()
	}
	r.freeBuffer()
	r.message, r.state = nil, readingHead
}

// minBufferSize is the smallest capacity of a reader's buffer in bytes.
const minBufferSize = 512

// appendBuffer appends data to the buffer, which holds at most limit bytes.
func (r *Reader) appendBuffer(data []byte, limit int) error {
	if need := len(r.buffer) + len(data); need > cap(r.buffer) {
		size := max(need, min(max(2*cap(r.buffer), minBufferSize), limit))
		held := size
		if r.message != nil {
			held += r.message.reserved
		}
		if r.budget != nil && !r.budget.Reserve(size-cap(r.buffer), held) {
			return errBudgetExhausted
		}
		r.buffer = append(make([]byte, 0, size), r.buffer...)
	}
	r.buffer = append(r.buffer, data...)
	return nil
}

// freeBuffer drops the buffer and returns its bytes to the budget.
func (r *Reader) freeBuffer() {
	if r.budget != nil {
		r.budget.Release(cap(r.buffer))
	}
	r.buffer = nil
}

// Ended is called when the connection has ended. It reports whether that completed a message.
func (r *Reader) Ended() bool {
	if r.state == readingToEnd {
		r.state = messageComplete
		return true
	}
	return false
}

// Read reads data up to the next event and returns the number of bytes read. An error is an *Error; after it, nothing more
// can be read.
func (r *Reader) Read(data []byte) (n int, e Event, err error) {
	for {
		switch r.state {
		case readingHead:
			used, err := r.readHead(data[n:])
			if err != nil {
				return n, NeedMore, err
			}
			if n += used; r.state != readingHead {
				return n, HeadRead, nil
			}
			return n, NeedMore, nil
		case headComplete:
			if err := r.startBody(); err != nil {
				return n, NeedMore, err
			}
		case readingBody, readingChunk, readingToEnd:
			used, needMore, err := r.readBody(data[n:])
			n += used
			if err != nil || needMore {
				return n, NeedMore, err
			}
		case messageComplete:
			return n, MessageRead, nil
		default:
			used, needMore, err := r.readChunkLine(data[n:])
			n += used
			if err != nil || needMore {
				return n, NeedMore, err
			}
		}
	}
}
