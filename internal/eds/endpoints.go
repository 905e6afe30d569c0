package eds

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"dapplefront/policy"
	"dapplefront/router"
)

// Metadata is the name under which an endpoint's metadata holds what xDS has no field for: build (a whole number from
// 1), up (when the process started, in milliseconds since the epoch; absent or 0 for long ago), cell, and id (a
// number below 2^32; by default a hash of the address).
const Metadata = "dapplefront"

// Host is one endpoint: what the router is told of it, and where it is.
type Host struct {
	router.Host
	Address string
}

// hostsOf turns one resource into hosts; an error names the endpoint and what is wrong with it.
func hostsOf(a *endpointv3.ClusterLoadAssignment) ([]Host, error) {
	var hosts []Host
	for i, l := range a.GetEndpoints() {
		location := l.GetLocality().GetZone()
		if location == "" {
			return nil, fmt.Errorf("%s: endpoints[%d]: locality.zone is missing", a.GetClusterName(), i)
		}
		for j, e := range l.GetLbEndpoints() {
			h, err := hostOf(e)
			if err != nil {
				return nil, fmt.Errorf("%s: endpoints[%d].lb_endpoints[%d]: %w", a.GetClusterName(), i, j, err)
			}
			h.Zone = location
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

func hostOf(e *endpointv3.LbEndpoint) (h Host, err error) {
	s := e.GetEndpoint().GetAddress().GetSocketAddress()
	ip, err := netip.ParseAddr(s.GetAddress())
	if err != nil || s.GetPortValue() == 0 || s.GetPortValue() > 65535 {
		return h, fmt.Errorf("socket_address: an IP address and a port expected, not %q:%d", s.GetAddress(), s.GetPortValue())
	}
	h.Address = netip.AddrPortFrom(ip, uint16(s.GetPortValue())).String()
	h.ID = uint32(xxhash.Sum64String(h.Address))
	h.Weight = 1
	if w := e.GetLoadBalancingWeight(); w != nil {
		if w.GetValue() == 0 {
			return h, fmt.Errorf("load_balancing_weight: 1 or more expected")
		}
		h.Weight = float64(w.GetValue()) / 1000 // thousandths, so that rough sizes fit xDS's whole numbers
	}
	switch e.GetHealthStatus() {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		h.State = policy.Serving
	case corev3.HealthStatus_DRAINING:
		h.State = policy.Draining
	default:
		h.State = policy.Removed
	}
	fields := e.GetMetadata().GetFilterMetadata()[Metadata].GetFields()
	whole := func(name string, without, most float64) float64 {
		v, ok := fields[name]
		if !ok {
			if without < 0 && err == nil {
				err = fmt.Errorf("metadata %s.%s is missing", Metadata, name)
			}
			return without
		}
		n, isNumber := v.GetKind().(*structpb.Value_NumberValue)
		if !isNumber || n.NumberValue != math.Trunc(n.NumberValue) || !(n.NumberValue >= 0 && n.NumberValue <= most) {
			if err == nil {
				err = fmt.Errorf("metadata %s.%s: a whole number from 0 to %s expected, not %v", Metadata, name,
					strconv.FormatFloat(most, 'f', 0, 64), v)
			}
			return 0
		}
		return n.NumberValue
	}
	if size := whole("size", 0, 1<<32); size > 0 { // the weight is a plan's, and this is what the host can do
		h.Weight = size / 1000
	}
	h.Build = int(whole("build", -1, 65535))
	h.StartedAt = policy.Time(whole("up", 0, 1<<52)) * 10
	h.Cell = int(whole("cell", 0, 1<<31))
	h.ID = uint32(whole("id", float64(h.ID), math.MaxUint32))
	return h, err
}

// endpointList is the host list as last accepted, by resource.
type endpointList struct {
	resources map[string]resource
	hosts     map[uint32]Host
}

type resource struct {
	version string
	hosts   []Host
}

func newEndpointList() *endpointList {
	return &endpointList{resources: map[string]resource{}, hosts: map[uint32]Host{}}
}

// put takes in changed and removed resources as a whole or, with an error, not at all. It returns the hosts that
// changed, those that left as gone.
func (l *endpointList) put(changed map[string]resource, removed []string) ([]Host, error) {
	next := make(map[string]resource, len(l.resources)+len(changed))
	for name, r := range l.resources {
		next[name] = r
	}
	for name, r := range changed {
		next[name] = r
	}
	for _, name := range removed {
		delete(next, name)
	}
	hosts, places := map[uint32]Host{}, map[string]uint32{}
	for name, r := range next {
		for _, h := range r.hosts {
			if other, ok := hosts[h.ID]; ok {
				return nil, fmt.Errorf("%s: host %d stands twice, at %s and at %s", name, h.ID, other.Address, h.Address)
			}
			if other, ok := places[h.Address]; ok {
				return nil, fmt.Errorf("%s: %s is the address of two hosts, %d and %d", name, h.Address, other, h.ID)
			}
			hosts[h.ID], places[h.Address] = h, h.ID
		}
	}
	var out []Host
	for id, h := range hosts {
		if l.hosts[id] != h {
			out = append(out, h)
		}
	}
	for id, h := range l.hosts {
		if _, ok := hosts[id]; !ok && h.State != policy.Removed {
			h.State = policy.Removed
			out = append(out, h)
		}
	}
	l.resources, l.hosts = next, hosts
	sortByID(out)
	return out, nil
}

// all is the whole list, in the order of ids.
func (l *endpointList) all() []Host {
	out := make([]Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		out = append(out, h)
	}
	sortByID(out)
	return out
}

func sortByID(hosts []Host) {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
}
