package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// Writer prints replies to batches. End returns write errors.
type Writer struct {
	out      *bufio.Writer
	line     []byte // the line being printed
	instance int    // instance of the last AT line; -1 at the start of a reply
}

// NewWriter returns a Writer that prints replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, bufferSize), instance: -1}
}

// Act prints one action of an instance: its name and its values.
func (w *Writer) Act(instance int, name string, values ...any) {
	if instance != w.instance {
		w.instance = instance
		w.printLine("AT", instance)
	}
	w.printLine(name, values...)
}

// End completes the reply to a batch and flushes it.
func (w *Writer) End(batch int64) error {
	w.instance = -1
	w.printLine("EOR", batch)
	return w.out.Flush()
}

func (w *Writer) printLine(name string, values ...any) {
	w.line = append(w.line[:0], name...)
	for _, v := range values {
		w.line = append(w.line, ' ')
		switch v := v.(type) {
		case string:
			w.line = append(w.line, v...)
		case int64:
			w.line = strconv.AppendInt(w.line, v, 10)
		default:
			w.line = fmt.Append(w.line, v)
		}
	}
	w.line = append(w.line, '\n')
	_, _ = w.out.Write(w.line) // bufio.Writer returns the error from Flush
}
