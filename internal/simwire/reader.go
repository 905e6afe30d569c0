// Package simwire reads and prints the lines that the simulator and an adapter exchange.
package simwire

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"dapplefront/internal/platformsettings"
)

// Event is one line of a batch, for the instance that the latest SELECT named.
type Event struct {
	Instance int
	Body     any
}

// Batch is what happened at one moment.
type Batch struct {
	Now    int64
	Number int64
	Events []Event
}

// The bodies of events; fields keep the wire's names and units (microseconds).
type (
	Launch struct {
		Prng   uint64
		Params platformsettings.Values
	}
	Entry struct {
		Host             uint32
		Site, FamilyType string
		Cell             int64
		Mode             string
		Release          int
		PowerHint        float64
		UpSinceUs        int64
	}
	View struct {
		How     string
		Entries []Entry
	}
	Incoming struct {
		Ticket, Qos, Owner, Resource string
		PatienceLeftUs, WorkHintUs   int64
		Marks                        int64
	}
	AckFirst struct {
		Ticket string
		N      int
	}
	PhaseTold struct {
		Image, Tranche, Standing int
		Asked                    bool
		Code                     string
		Allowed                  float64
		AgeUs                    int64
	}
	CountsByBuild struct {
		Image, Bad, Samples int
		RttUs               int64
		Qos                 string
		AgeUs               int64
	}
	Kill  struct{}
	Ended struct {
		Ticket  string
		N       int
		Host    uint32
		Code    string
		RttUs   int64
		Done    bool
		Metrics []float64
	}
	TimedOutClient struct{ Ticket string }
	Due            struct{ Mark int64 }
	BadAnswer      struct {
		Host  uint32
		Qos   string
		AgeUs int64
	}
	FromPeer struct {
		Author int
		Body   []byte
	}
	HealthResult struct {
		RttUs   int64
		Code    string
		Host    uint32
		Metrics []float64
	}
)

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists [16][]Entry
}

// NewReader reads batches from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20)} }

// nextLine returns the next line that is not blank, cut at single spaces.
func (r *Reader) nextLine() (lineParser, error) {
	for {
		text, err := r.in.ReadString('\n')
		if text == "" && err != nil {
			return lineParser{}, err
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return lineParser{}, err
		}
		r.line++
		text = strings.TrimRight(text, "\r\n")
		if text != "" {
			return lineParser{line: r.line, text: text, rest: text}, nil
		}
	}
}

// Batch reads one batch; io.EOF says that input ended between batches.
func (r *Reader) Batch() (Batch, error) {
	f, err := r.nextLine()
	if err != nil {
		return Batch{}, err
	}
	if name := f.word(); name != "BEGIN_BATCH" {
		return Batch{}, f.expected("BEGIN_BATCH")
	}
	b := Batch{Now: f.integer("the clock"), Number: f.integer("the batch's number")}
	if f.err != nil {
		return b, f.err
	}
	instance, chosen := 0, false
	for {
		f, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return b, fmt.Errorf("line %d: input ended inside a batch: EOF_BATCH expected", r.line+1)
		}
		if err != nil {
			return b, err
		}
		switch name := f.word(); name {
		case "EOF_BATCH":
			return b, f.err
		case "SELECT":
			instance, chosen = int(f.integer("an instance")), true
		case "LEDGER":
			if err := r.readList(&f); err != nil {
				return b, err
			}
		default:
			if !chosen {
				return b, f.expected("SELECT before the first event")
			}
			body := r.readBody(name, &f)
			if f.err == nil {
				b.Events = append(b.Events, Event{Instance: instance, Body: body})
			}
		}
		if f.err != nil {
			return b, f.err
		}
	}
}

func (r *Reader) readList(f *lineParser) error {
	ref, n := f.integer("a list number"), f.integer("the number of entries")
	if f.err != nil {
		return f.err
	}
	if ref < 0 || ref >= int64(len(r.lists)) || n < 0 {
		return f.expected("a list number from 0 to 15 and a number of entries")
	}
	var entries []Entry
	for range n {
		m, err := r.nextLine()
		if err != nil {
			return fmt.Errorf("line %d: input ended inside a list: M expected", r.line+1)
		}
		if m.word() != "M" {
			return m.expected("M, an entry of the list")
		}
		e := Entry{Host: m.host(), Site: m.word(), FamilyType: m.word(), Cell: m.integer("a cell")}
		e.Mode = m.oneOf("a mode", "in_service", "terminating", "terminated")
		e.Release, e.PowerHint = int(m.float("a build")), m.float("a size")
		e.UpSinceUs = m.integer("a start time")
		if m.err != nil {
			return m.err
		}
		entries = append(entries, e)
	}
	r.lists[ref] = entries
	return nil
}

func (r *Reader) readBody(name string, f *lineParser) any {
	switch name {
	case "INCOMING":
		return Incoming{f.required("a request id"), f.required("a class"), f.word(), f.word(),
			f.integer("the patience left"), f.integer("a work hint"), f.integer("marks")}
	case "ENDED":
		return Ended{f.required("a request id"), int(f.integer("an attempt")), f.host(),
			f.oneOf("an outcome", "served", "server_error", "turned_away", "no_answer", "no_connection",
				"connection_lost", "called_off", "not_sent"),
			f.integer("a time"), f.bool(), f.numbers()}
	case "DUE":
		return Due{f.integer("a mark")}
	case "TIMED_OUT_CLIENT":
		return TimedOutClient{f.required("a request id")}
	case "VIEW":
		v := View{How: f.oneOf("a kind of list", "D", "F", "C", "X")}
		f.integer("a version")
		ref := f.integer("a list number")
		if v.How != "X" && f.err == nil {
			if ref < 0 || ref >= int64(len(r.lists)) {
				f.fail("a list number from 0 to 15")
				return nil
			}
			v.Entries = r.lists[ref]
		}
		return v
	case "PHASE_TOLD":
		return PhaseTold{int(f.integer("a build")), int(f.integer("a stage")), int(f.integer("a phase")), f.bool(),
			f.oneOf("an answer", "served", "not_sent", "turned_away", "server_error", "no_answer"),
			f.float("a cap"), f.integer("an age")}
	case "COUNTS_BY_BUILD":
		return CountsByBuild{int(f.integer("a build")), int(f.integer("a count")), int(f.integer("a count")),
			f.integer("a time"), f.required("a class"), f.integer("an age")}
	case "BAD_ANSWER":
		return BadAnswer{f.host(), f.required("a class"), f.integer("an age")}
	case "ACK_FIRST":
		return AckFirst{f.required("a request id"), int(f.integer("an attempt"))}
	case "KILL":
		return Kill{}
	case "LAUNCH":
		seed, err := strconv.ParseUint(f.word(), 10, 64)
		if err != nil {
			f.fail("a seed")
		}
		p := platformsettings.Values{}
		for pair := range strings.FieldsSeq(f.rest) {
			path, value, ok := strings.Cut(pair, "=")
			if !ok {
				f.fail("path=value")
			}
			p[path] = value
		}
		f.rest = ""
		return Launch{seed, p}
	case "FROM_PEER":
		e := FromPeer{Author: int(f.integer("a peer"))}
		var err error
		if e.Body, err = base64.StdEncoding.DecodeString(f.word()); err != nil {
			f.fail("a body in base64")
		}
		return e
	case "HEALTH_RESULT":
		return HealthResult{f.integer("a time"),
			f.oneOf("an outcome", "served", "server_error", "turned_away", "no_answer", "no_connection",
				"connection_lost", "called_off", "not_sent"), f.host(), f.numbers()}
	}
	f.fail("a known event")
	return nil
}

// lineParser walks over the parts of one line and keeps the first thing wrong with it.
type lineParser struct {
	line       int
	text, rest string
	err        error
}

func (f *lineParser) expected(want string) error {
	text := f.text
	if len(text) > 120 {
		text = text[:120] + "..."
	}
	return fmt.Errorf("line %d: %s expected in %q", f.line, want, text)
}

func (f *lineParser) fail(want string) {
	if f.err == nil {
		f.err = f.expected(want)
	}
}

// word takes the next part; an absent one is empty.
func (f *lineParser) word() string {
	w, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	if w == "-" {
		return ""
	}
	return w
}

func (f *lineParser) required(what string) string {
	w := f.word()
	if w == "" {
		f.fail(what)
	}
	return w
}

func (f *lineParser) integer(what string) int64 {
	w := f.word()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		f.fail(what + ", a whole number,")
	}
	return n
}

func (f *lineParser) float(what string) float64 {
	w := f.word()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseFloat(w, 64)
	if err != nil {
		f.fail(what + ", a number,")
	}
	return n
}

func (f *lineParser) host() uint32 {
	n, err := strconv.ParseUint(f.word(), 10, 32)
	if err != nil {
		f.fail("a host's number")
	}
	return uint32(n)
}

func (f *lineParser) bool() bool { return f.oneOf("1 or 0", "", "0", "1") == "1" }

func (f *lineParser) oneOf(what string, words ...string) string {
	w := f.word()
	for _, known := range words {
		if w == known {
			return w
		}
	}
	f.fail(what + " (" + strings.Trim(strings.Join(words, ", "), ", ") + ")")
	return w
}

func (f *lineParser) numbers() []float64 {
	w := f.word()
	if w == "" {
		return nil
	}
	var out []float64
	for part := range strings.SplitSeq(w, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil {
			n = -1
			if part != "-" && part != "" {
				f.fail("load figures")
			}
		}
		out = append(out, n)
	}
	return out
}

// Writer prints replies.
type Writer struct {
	out      *bufio.Writer
	instance int
}

// NewWriter prints replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, 1<<20), instance: -1}
}

// Act prints one action of an instance: its name and its values.
func (w *Writer) Act(instance int, name string, values ...any) {
	if instance != w.instance {
		w.instance = instance
		fmt.Fprintf(w.out, "AT %d\n", instance)
	}
	w.out.WriteString(name)
	for _, v := range values {
		w.out.WriteByte(' ')
		switch v := v.(type) {
		case string:
			w.out.WriteString(v)
		case int64:
			w.out.WriteString(strconv.FormatInt(v, 10))
		default:
			fmt.Fprint(w.out, v)
		}
	}
	w.out.WriteByte('\n')
}

// End closes the reply to a batch and sends it off.
func (w *Writer) End(batch int64) error {
	w.instance = -1
	fmt.Fprintf(w.out, "EOR %d\n", batch)
	return w.out.Flush()
}
