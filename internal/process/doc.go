// Package process starts, finds and stops the processes of builds. It reads /proc and therefore requires Linux.
//
// The process of a build leads its own process group and appends its output to a file, so that it outlives the agent.
// An environment variable names the agent and the build. By this variable the agent, or a later agent, finds the
// process and all processes that it has forked.
package process
