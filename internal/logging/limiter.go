package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	limitInterval = time.Second
	limitLines    = 20 // lines of one message in limitInterval
)

// Limiter logs messages that clients can cause as often as they like. Of each message it logs at most limitLines in
// limitInterval; the first line after that has the number of lines that were left out, as the attribute "suppressed". It is
// safe for concurrent use.
type Limiter struct {
	log *slog.Logger
	now func() time.Time

	mu       sync.Mutex
	messages map[string]*messageCount
}

// messageCount counts the lines of one message in an interval.
type messageCount struct {
	startedAt  time.Time
	lines      int
	suppressed int // since the last line that was logged
}

// NewLimiter returns a limiter that logs to log. Messages must be constants, as each is remembered.
func NewLimiter(log *slog.Logger) *Limiter {
	return &Limiter{log: log, now: time.Now, messages: map[string]*messageCount{}}
}

// Log logs a message with its attributes, unless it was logged too often. At a level that is not enabled it does nothing.
func (l *Limiter) Log(level slog.Level, message string, attributes ...any) {
	if !l.log.Enabled(context.Background(), level) {
		return
	}
	suppressed, ok := l.allow(message)
	if !ok {
		return
	}
	if suppressed > 0 {
		attributes = append(attributes, "suppressed", suppressed)
	}
	l.log.Log(context.Background(), level, message, attributes...)
}

// allow reports whether a line of a message is logged, and how many were left out before it.
func (l *Limiter) allow(message string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.messages[message]
	if count == nil {
		count = &messageCount{}
		l.messages[message] = count
	}
	if now := l.now(); now.Sub(count.startedAt) >= limitInterval {
		count.startedAt, count.lines = now, 0
	}
	if count.lines == limitLines {
		count.suppressed++
		return 0, false
	}
	count.lines++
	suppressed, count.suppressed = count.suppressed, 0
	return suppressed, true
}
