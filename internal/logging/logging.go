// Package logging creates the loggers of the programs from their options.
package logging

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/lmittmann/tint"
)

// Options are the flags for logging, which all commands have.
type Options struct {
	Level  string // debug, info, warn or error; "" means the command's default
	Format string // text or json
}

// Logger returns a logger that writes to standard error. If an option is invalid, the error names its flag.
func (o *Options) Logger(defaultLevel string) (*slog.Logger, error) {
	text := o.Level
	if text == "" {
		text = defaultLevel
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return nil, fmt.Errorf("--log %s: debug, info, warn or error expected", text)
	}
	switch o.Format {
	case "text":
		return slog.New(tint.NewTextHandler(os.Stderr, &tint.Options{Level: level, TimeFormat: time.StampMilli, NoColor: !isTerminal(os.Stderr)})), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
	}
	return nil, fmt.Errorf("--log-form %s: text or json expected", o.Format)
}

func isTerminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
