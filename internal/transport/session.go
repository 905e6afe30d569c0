// Package transport is a router's edge to the network: listeners, and connections whose bytes go to a Session each. It
// knows nothing of what the bytes mean.
//
// It stands on the standard library's poller, which tells a descriptor's present connection from an earlier one: an
// event that still waits when its connection is closed can't reach the connection that gets the same descriptor next
// (docs/router.md). A reader waits without a buffer, and borrows one when something has arrived.
package transport

// Session reads one connection. Its methods are called by the connection's reader, one at a time; only Wrote may also
// come from whoever writes.
type Session interface {
	Data(data []byte) // valid until it returns
	Closed(err error) // once, last
	Wrote(n int)      // bytes that the kernel has taken
}
