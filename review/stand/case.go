package stand

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Env is what a case runs in.
type Env struct {
	Root    string // the project's root
	Folder  string // a temporary folder
	Trouble bool   // whether the disruption takes place
	*Record
}

// Main runs a case, whose folder is the first argument, and ends the process with its status.
func Main(run func(*Env) (status int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER; TROUBLE=0 leaves out the disruption")
		os.Exit(NotRun)
	}
	status, err := runIn(os.Args[1], run)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = NotRun
	}
	os.Exit(status)
}

func runIn(folder string, run func(*Env) (int, error)) (status int, err error) {
	folder, err = filepath.Abs(folder)
	if err != nil {
		return NotRun, err
	}
	record, err := OpenRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return NotRun, err
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return NotRun, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	e := &Env{Root: filepath.Join(folder, "../.."), Folder: temporary, Trouble: os.Getenv("TROUBLE") != "0", Record: record}
	return run(e)
}
