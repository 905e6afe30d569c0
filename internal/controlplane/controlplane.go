// Package controlplane defines what a running router needs of endpoint discovery and the release controllers, whatever
// protocols they use.
package controlplane

import (
	"dapplefront/internal/controlclient"
	"dapplefront/internal/endpoint"
	"dapplefront/policy"
)

// Discovery is a watch of the endpoint list.
type Discovery interface {
	Subscribe() // starts the watch, or resumes it after a failure; does nothing while it runs
	Close()
}

// ReleaseClient is the connection to the release controllers.
type ReleaseClient interface {
	// Vote casts a vote; done is called with the release status in the response.
	Vote(build, stage int, choice policy.VoteChoice, done func(policy.ReleaseStatus))
	// Report reports how many requests of a build had each outcome since the last report.
	Report(build int, outcomes map[string]int)
	// AcknowledgePlan reports that the router follows a version of a plan or, if reason is not empty, has rejected it.
	AcknowledgePlan(version uint64, reason string)
	Close()
}

// Protocols contains the functions that open the connections to endpoint discovery and the release controllers.
type Protocols struct {
	// Discovery opens the watch and returns the endpoints that the router uses until the watch's first response.
	Discovery         func(endpoint.Handler) (_ Discovery, known []endpoint.Host, _ error)
	ReleaseController func(controlclient.Handler) (ReleaseClient, error)
	// Ready reports whether the readiness path responds with 200; if it is nil, the path always does.
	Ready func() bool
	// InputPending reports whether input from endpoint discovery or the release controllers may have arrived that has not been
	// handled; if it is nil, that is not known.
	InputPending func() bool
}
