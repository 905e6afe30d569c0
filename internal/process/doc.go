// Package process starts, finds and stops the processes of builds (Linux; it reads /proc).
//
// A build's process leads a process group of its own and appends its output to a file, so that it outlives the agent. A
// variable in its environment names the agent and the build. By it the process and all that it has forked are found
// again, also by the next agent.
package process
