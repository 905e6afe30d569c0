// Package endpoint has what the clients of endpoint discovery report, whatever their protocol: hosts with their addresses. It
// also caches the endpoint list in a file.
package endpoint

import "dapplefront/router"

// Host is an endpoint: the router's description of it, and its address.
type Host struct {
	router.Host
	Address string
}

// Handler handles the events of a watch.
type Handler struct {
	Updated  func(complete bool, hosts []Host) // a version was accepted; called before it is acknowledged (ACK)
	Rejected func(err error)                   // a version was rejected
	Failed   func(err error)                   // the stream ended, or a call failed
}
