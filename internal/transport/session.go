// Package transport manages the TCP listeners and connections of a router. It passes the bytes that a connection receives
// to the connection's Session, and does not interpret them.
//
// It uses the poller of the standard library, which distinguishes the current connection of a descriptor from earlier
// ones: an event that is not yet delivered when its connection is closed can't reach the next connection with the same
// descriptor (docs/router.md). A reader waits without a buffer and takes one from a pool when data has arrived.
package transport

// Session receives the data and events of one connection. The connection's reader calls its methods one at a time, except
// Wrote, which is called by the goroutines that write and may run at the same time as the others.
type Session interface {
	Data(data []byte) // data was received; the slice is valid until Data returns
	Closed(err error) // the connection has ended; called exactly once, after all other calls
	Wrote(n int)      // the kernel has accepted n bytes
}
