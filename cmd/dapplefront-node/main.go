// Command dapplefront-node runs a router on the operators' platform, as "dapplefront node" does. It contains nothing else, so
// that it needs less memory: the pages of a program count toward the memory limit of its process.
package main

import (
	"flag"
	"fmt"
	"os"

	"dapplefront/internal/logging"
	"dapplefront/internal/node"
)

// Exit codes other than 0.
const (
	exitFailed = 1 // a request got no response
	exitUsage  = 2
)

func main() {
	var options logging.Options
	flag.StringVar(&options.Level, "log", "", "log level: debug, info, warn or error (default info)")
	flag.StringVar(&options.Format, "log-form", "text", "log format: text or json")
	flag.Parse()
	unanswered, err := run(&options)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "dapplefront-node:", err)
		os.Exit(exitUsage)
	case unanswered > 0:
		os.Exit(exitFailed)
	}
}

func run(options *logging.Options) (unanswered int, err error) {
	if flag.NArg() > 0 {
		return 0, fmt.Errorf("unexpected argument %q", flag.Arg(0))
	}
	log, err := options.Logger("info")
	if err != nil {
		return 0, err
	}
	return node.RunWithSignals(log)
}
