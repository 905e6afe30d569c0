package http1

// Event is what Read found.
type Event int

// Events of Read.
const (
	NeedMore    Event = iota // all data was read; the message goes on
	HeadRead                 // the head of a message is known: Peek has it, its body is to come
	MessageRead              // the message is complete: Take it before reading on
)

// Limits of one message, in bytes; each is at least 1.
type Limits struct {
	Head   int // start line and fields
	Body   int
	Framed bool // a response must have a length, or come in chunks: the end of its connection may be a lost connection
}

type readState int

// States of a reader, in the order in which a message goes through some of them.
const (
	readingHead      readState = iota
	headComplete               // the body has not been looked at yet
	readingBody                // with a Content-Length
	readingChunkSize           // the line before a chunk
	readingChunk               // a chunk's data
	readingChunkEnd            // the line end after a chunk
	readingTrailer             // fields after the last chunk, which are dropped
	readingToEnd               // a response's body that ends with the connection
	messageComplete
)

// Reader puts messages together. The zero Reader is not ready: use NewReader.
type Reader struct {
	limits   Limits
	budget   *Budget
	response bool
	noBody   bool // the response to a HEAD request

	state     readState
	message   *Message // from headComplete on
	buffer    []byte   // an incomplete head, or an incomplete line of the chunk framing
	searched  int      // bytes of buffer that were searched for the head's end
	skipped   int      // bytes of empty lines before the head
	remaining int      // bytes to come of the body or chunk; in the trailer, bytes that have come
}

// NewReader returns a reader of requests, or of responses. Bodies hold bytes of the budget until Message.Drop; nil for
// no budget.
func NewReader(limits Limits, budget *Budget, response bool) *Reader {
	return &Reader{limits: limits, budget: budget, response: response}
}

// Expect says before a response arrives whether it answers a HEAD request and so has no body.
func (r *Reader) Expect(head bool) { r.noBody = head }

// Idle reports whether no byte of a message has been read yet.
func (r *Reader) Idle() bool { return r.state == readingHead && len(r.buffer) == 0 }

// Peek is the message that is being read, after HeadRead.
func (r *Reader) Peek() *Message { return r.message }

// Take returns the complete message; the next bytes start another one.
func (r *Reader) Take() *Message {
	m := r.message
	r.message, r.state, r.searched, r.skipped, r.buffer = nil, readingHead, 0, 0, r.buffer[:0]
	return m
}

// Drop gives back what the message that is being read holds.
func (r *Reader) Drop() {
	if r.message != nil {
		r.message.Drop()
	}
	r.message, r.buffer, r.state = nil, nil, readingHead
}

// Ended says that the connection has ended; it reports whether that completed a message.
func (r *Reader) Ended() bool {
	if r.state == readingToEnd {
		r.state = messageComplete
		return true
	}
	return false
}

// Read reads from data what belongs to the next event and returns how many bytes that were. After an error, an *Error,
// nothing more can be read.
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
