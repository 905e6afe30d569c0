// Package scenario runs scenarios of faults on loopback: real routers and release controllers against a testbed of
// backends, endpoint discovery and clients. A scenario is specified by an INI file or drawn from a seed. At its end
// package audit judges the five rules by what clients, backends and controllers observed at their sockets.
package scenario
