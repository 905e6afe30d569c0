// Command simadapter runs the router library in the simulator: it reads the simulator's events from standard input and writes
// the router's actions to standard output.
package main

import (
	"fmt"
	"os"

	"dapplefront/internal/simadapter"
)

func main() {
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
