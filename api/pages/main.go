// Command pages generates docs/interface.md from the descriptions in package api. Run it at the root of the repository.
package main

import (
	"fmt"
	"os"

	"dapplefront/api"
	"dapplefront/internal/atomicfile"
)

func main() {
	page, err := api.Page()
	if err == nil {
		err = atomicfile.Write("docs/interface.md", []byte(page), 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pages:", err)
		os.Exit(1)
	}
}
