// Command drill lets the decisions play on the simulator's wire.
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
