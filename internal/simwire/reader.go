package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	maxLists   = 16 // LEDGERs are numbered from 0 to maxLists-1
	bufferSize = 1 << 20
)

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int               // number of the last line read
	lists [maxLists][]Entry // the latest LEDGER of each number
}

// NewReader returns a Reader that reads batches from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, bufferSize)} }

// nextLine returns the next line that is not blank.
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

// Batch reads one batch. It returns io.EOF if the input ends between batches. The error for a malformed batch names the
// line and what was expected there.
func (r *Reader) Batch() (Batch, error) {
	p, err := r.nextLine()
	if err != nil {
		return Batch{}, err
	}
	if name := p.part(); name != "BEGIN_BATCH" {
		return Batch{}, p.expected("BEGIN_BATCH")
	}
	b := Batch{Now: p.integer("the clock"), Number: p.integer("the batch's number")}
	if p.err != nil {
		return b, p.err
	}
	err = r.readEvents(&b)
	return b, err
}

// readEvents reads the lines of a batch up to its end.
func (r *Reader) readEvents(b *Batch) error {
	instance, selected := 0, false
	for {
		p, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: input ended inside a batch: expected EOF_BATCH", r.line+1)
		}
		if err != nil {
			return err
		}
		switch name := p.part(); name {
		case "EOF_BATCH":
			return p.err
		case "SELECT":
			instance, selected = int(p.integer("an instance")), true
		case "LEDGER":
			if err := r.readList(&p); err != nil {
				return err
			}
		default:
			if !selected {
				return p.expected("SELECT before the first event of the batch")
			}
			body := r.readBody(name, &p)
			if p.err == nil {
				b.Events = append(b.Events, Event{Instance: instance, Body: body})
			}
		}
		if p.err != nil {
			return p.err
		}
	}
}

// readList reads a LEDGER and its entries.
func (r *Reader) readList(p *lineParser) error {
	ref, n := p.integer("a list number"), p.integer("the number of entries")
	if p.err != nil {
		return p.err
	}
	if ref < 0 || ref >= maxLists || n < 0 {
		return p.expected("a list number from 0 to 15 and a number of entries")
	}
	var entries []Entry
	for range n {
		e, err := r.readEntry()
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	r.lists[ref] = entries
	return nil
}

func (r *Reader) readEntry() (Entry, error) {
	p, err := r.nextLine()
	if err != nil {
		return Entry{}, fmt.Errorf("line %d: input ended inside a list: expected M", r.line+1)
	}
	if p.part() != "M" {
		return Entry{}, p.expected("M (a list entry)")
	}
	e := Entry{Host: p.host(), Site: p.part(), FamilyType: p.part(), Cell: p.integer("a cell")}
	e.Mode = p.oneOf("a mode", ModeInService, ModeTerminating, ModeTerminated)
	e.Release, e.PowerHint = int(p.float("a build")), p.float("a size")
	e.UpSinceUs = p.integer("a start time")
	return e, p.err
}
