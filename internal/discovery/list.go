package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
	"dapplefront/router"
)

// EndpointList is a message of discovery: the whole endpoint list or the changes since an earlier revision. Its JSON names
// are those of "Discovery" in the operators' protocol page.
type EndpointList struct {
	Revision  int64      `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []Endpoint `json:"members"`
}

// Endpoint is one entry of a list.
type Endpoint struct {
	ID          string  `json:"id"` // the name by which all routers identify the host
	Address     string  `json:"host_port"`
	Zone        string  `json:"locality"`
	Cell        int     `json:"cell"`
	Phase       string  `json:"phase"` // a key of endpointStates
	Weight      float64 `json:"size"`
	StartedAtMs int64   `json:"up_since_ms"` // Unix time of the host's last start; 0 means long ago
	Build       int     `json:"revision_no"`
}

// Phases of an endpoint in the operators' protocol page.
const (
	phaseUp       = "up"
	phaseDraining = "draining"
	phaseRemoved  = "removed" // only in lists of changes, not in complete lists
)

// endpointStates maps the phases of the protocol to endpoint states of the policy.
var endpointStates = map[string]policy.EndpointState{
	phaseUp:       policy.Serving,
	phaseDraining: policy.Draining,
	phaseRemoved:  policy.Removed,
}

// Check returns an error that names the first invalid field, or nil if the list is valid.
func (l EndpointList) Check() error {
	if l.Revision < 0 {
		return fmt.Errorf("revision: must not be negative, got %d", l.Revision)
	}
	for i, e := range l.Endpoints {
		address, err := netip.ParseAddrPort(e.Address)
		_, known := endpointStates[e.Phase]
		switch {
		case e.ID == "":
			return fmt.Errorf("members[%d].id is missing", i)
		case err != nil && e.Phase != phaseRemoved || err == nil && address.Port() == 0:
			return fmt.Errorf("members[%d].host_port: must be a numeric IP address with a port, got %q", i, e.Address)
		case !known:
			return fmt.Errorf("members[%d].phase: must be up, draining or removed, got %q", i, e.Phase)
		case e.Build < 0 || e.Cell < 0 || e.StartedAtMs < 0 || e.Weight < 0 || math.IsInf(e.Weight, 0):
			return fmt.Errorf("members[%d]: cell, size, up_since_ms or revision_no is out of range", i)
		}
	}
	return nil
}

// decodeList decodes and checks one message of a watch. All three fields must be present.
func decodeList(text json.RawMessage) (EndpointList, error) {
	var message struct {
		Revision  *int64     `json:"revision"`
		Complete  *bool      `json:"complete"`
		Endpoints []Endpoint `json:"members"`
	}
	if err := json.Unmarshal(text, &message); err != nil {
		return EndpointList{}, err
	}
	if message.Revision == nil || message.Complete == nil || message.Endpoints == nil {
		return EndpointList{}, errors.New("revision, complete or members is missing")
	}
	l := EndpointList{Revision: *message.Revision, Complete: *message.Complete, Endpoints: message.Endpoints}
	return l, l.Check()
}

// host returns the endpoint as a host of the router, with the id of its incarnation.
func (e Endpoint) host(id uint32) endpoint.Host {
	const ticksPerMillisecond = 10
	return endpoint.Host{Address: e.Address, Host: router.Host{ID: id, Zone: e.Zone, Cell: e.Cell, State: endpointStates[e.Phase],
		Build: e.Build, Weight: e.Weight, StartedAt: policy.Time(e.StartedAtMs) * ticksPerMillisecond}}
}
