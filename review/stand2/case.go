// Package stand2 has the stand-ins of the second review: clients, hosts, discovery and the platform, as the operators'
// pages describe them, and the routers as processes of their own. All addresses are loopback addresses.
package stand2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Results of a case, which are its exit codes.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// longestRun is the time after which a case ends whatever happens.
const longestRun = 115 * time.Second

// Case is one play of a case.
type Case struct {
	Root    string // the repository
	Folder  string // the case's folder
	Temp    string
	Trouble bool // whether the disruption takes place

	mu        sync.Mutex
	record    *os.File
	start     time.Time
	processes []*exec.Cmd
	atEnd     []func()
	ended     bool
}

// Main plays a case and exits with its result. The first argument is the case's folder; the working directory is the
// repository's root. play returns the result, and an error if the case could not run.
func Main(play func(*Case) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: "+filepath.Base(os.Args[0])+" FOLDER")
		os.Exit(NotRun)
	}
	c, err := newCase(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		broken, err := play(c)
		switch {
		case err != nil:
			c.Note("the case could not run: %v", err)
			result <- NotRun
		case broken:
			result <- Broken
		default:
			result <- Held
		}
	}()
	code := NotRun
	select {
	case code = <-result:
	case <-signals:
		c.Note("ended by a signal")
	case <-time.After(longestRun):
		c.Note("ended after %s", longestRun)
	}
	c.end()
	fmt.Println(map[int]string{Held: "held", Broken: "broken", NotRun: "not run"}[code])
	os.Exit(code)
}

func newCase(folder string) (*Case, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	c := &Case{Root: root, Folder: folder, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	if c.Temp, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	c.record, err = os.Create(filepath.Join(folder, "record.txt"))
	return c, err
}

// Since returns the time since the case's start.
func (c *Case) Since() time.Duration { return time.Since(c.start) }

// Note writes a line with the time since the start to record.txt.
func (c *Case) Note(format string, values ...any) { c.NoteAt(time.Now(), format, values...) }

// NoteAt writes a line about an earlier moment to record.txt.
func (c *Case) NoteAt(at time.Time, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		_, _ = fmt.Fprintf(c.record, "%8.4f %s\n", at.Sub(c.start).Seconds(), fmt.Sprintf(format, values...))
	}
}

// Say writes a line to record.txt and to standard output.
func (c *Case) Say(format string, values ...any) {
	c.Note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// end ends all processes and removes the temporary folder.
func (c *Case) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, p := range c.processes {
		_ = p.Process.Kill()
	}
	for _, p := range c.processes {
		_, _ = p.Process.Wait()
	}
	for _, do := range c.atEnd {
		do()
	}
	_ = c.record.Close()
	_ = os.RemoveAll(c.Temp)
}

// AtEnd has a function called at the end, after the started processes have been ended.
func (c *Case) AtEnd(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atEnd = append(c.atEnd, do)
}

// StartProgram starts a program in a folder; its log is a file there.
func (c *Case) StartProgram(name, folder, program string, arguments ...string) error {
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, arguments...)
	command.Dir, command.Stdout, command.Stderr = folder, log, log
	if err := command.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.processes = append(c.processes, command)
	c.mu.Unlock()
	c.Note("%s started, process %d", name, command.Process.Pid)
	return nil
}

// FreeAddress returns an address that nobody listens on, on a loopback IP address.
func FreeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Object is a JSON object.
type Object map[string]any

// Router is a router as a process of its own.
type Router struct {
	Name, Address string
	Config        Object
	c             *Case
	process       *exec.Cmd
	file, log     string
}

// NewRouter prepares a router with a free address.
func (c *Case) NewRouter(name string, config Object) (*Router, error) {
	address, err := FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	config["name"], config["listen"] = name, address
	return &Router{Name: name, Address: address, Config: config, c: c, file: filepath.Join(c.Temp, name+".json"),
		log: filepath.Join(c.Temp, name+".log")}, nil
}

// WriteConfig writes the router's configuration file.
func (r *Router) WriteConfig() error {
	text, err := json.MarshalIndent(r.Config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.file+".new", r.file)
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// Start starts the router with the command "run" of the deploy file and waits until it is ready.
func (r *Router) Start() error {
	if err := r.WriteConfig(); err != nil {
		return err
	}
	deploy, err := os.ReadFile(filepath.Join(r.c.Root, "deploy/balancer.toml"))
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return errors.New("the deploy file has no line run")
	}
	log, err := os.OpenFile(r.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.process = exec.Command("/bin/sh", "-c", string(run[1]))
	r.process.Dir, r.process.Stdout, r.process.Stderr = r.c.Root, log, log
	r.process.Env = append(os.Environ(), "EDGE_NAME="+r.Name, "EDGE_LISTEN="+r.Address, fmt.Sprintf("EDGE_DISCOVERY=%v", r.Config["discovery"]),
		"EDGE_CONFIG="+r.file, "TMPDIR="+r.c.Temp)
	if err := r.process.Start(); err != nil {
		return err
	}
	r.c.mu.Lock()
	r.c.processes = append(r.c.processes, r.process)
	r.c.mu.Unlock()
	r.c.Note("router %s started, process %d, at %s", r.Name, r.process.Process.Pid, r.Address)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			r.c.Note("router %s ready", r.Name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready: %s", r.Name, r.Log())
}

func (r *Router) isReady() bool {
	conn, err := net.DialTimeout("tcp", r.Address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte("GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")); err != nil {
		return false
	}
	answer := make([]byte, 12)
	n, _ := conn.Read(answer)
	return strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200")
}

// Signal sends a signal to the router.
func (r *Router) Signal(s syscall.Signal) error {
	r.c.Note("router %s gets %s", r.Name, s)
	return r.process.Process.Signal(s)
}

// Log returns what the router has logged.
func (r *Router) Log() string {
	text, _ := os.ReadFile(r.log)
	return string(text)
}
