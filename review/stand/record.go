// Package stand has the stand-ins of the review's cases: clients, hosts, discovery and the control service of the
// operators' platform, a router process started by the deploy file, and the record of what was sent, answered and run.
package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was seen, a line an event. Times are in milliseconds since the record was opened.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// OpenRecord creates the record's file.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Line writes a line with the present time.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := float64(time.Since(r.start)) / float64(time.Millisecond)
	_, _ = fmt.Fprintf(r.out, "%10.2f %s\n", at, fmt.Sprintf(format, values...))
}

// Ms returns a point in time as the record writes it.
func (r *Record) Ms(at time.Time) float64 {
	return float64(at.Sub(r.start)) / float64(time.Millisecond)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, values ...any) {
	r.Line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close writes what is buffered and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
