package eds

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"dapplefront/internal/endpoint"
	"dapplefront/policy"
)

// TypeURL is the type of the resources.
const TypeURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

// Metadata is the filter name under which an endpoint's metadata contains what xDS has no field for: build (required, a
// whole number), up (when the process started, in milliseconds since the Unix epoch; absent or 0 means long ago), cell,
// size (in thousandths; absent or 0 means that the load balancing weight applies), and id (a number below 2^32; by default
// a hash of the address).
const Metadata = "dapplefront"

const (
	maxBuild      = 1<<16 - 1
	maxStartedMs  = 1 << 52
	maxCell       = 1 << 31
	maxSize       = 1 << 32
	defaultWeight = 1

	weightUnit          = 1000 // weights and sizes are sent in thousandths, because xDS weights are whole numbers
	ticksPerMillisecond = 10
)

// resource is one ClusterLoadAssignment.
type resource struct {
	version string
	hosts   []endpoint.Host
}

// unpack decodes a resource and returns its name and content.
func unpack(raw *anypb.Any, version string) (string, resource, error) {
	if raw.GetTypeUrl() != TypeURL {
		return "", resource{}, fmt.Errorf("type %s expected, not %q", TypeURL, raw.GetTypeUrl())
	}
	assignment := &endpointv3.ClusterLoadAssignment{}
	if err := raw.UnmarshalTo(assignment); err != nil {
		return "", resource{}, err
	}
	hosts, err := hostsOf(assignment)
	return assignment.GetClusterName(), resource{version, hosts}, err
}

// hostsOf returns the hosts of a resource. An error names the endpoint and what is wrong with it.
func hostsOf(a *endpointv3.ClusterLoadAssignment) ([]endpoint.Host, error) {
	var hosts []endpoint.Host
	for i, locality := range a.GetEndpoints() {
		zone := locality.GetLocality().GetZone()
		if zone == "" {
			return nil, fmt.Errorf("%s: endpoints[%d]: locality.zone is missing", a.GetClusterName(), i)
		}
		for j, e := range locality.GetLbEndpoints() {
			h, err := hostOf(e)
			if err != nil {
				return nil, fmt.Errorf("%s: endpoints[%d].lb_endpoints[%d]: %w", a.GetClusterName(), i, j, err)
			}
			h.Zone = zone
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

// hostOf returns the host that an endpoint describes, without its zone.
func hostOf(e *endpointv3.LbEndpoint) (endpoint.Host, error) {
	address, err := addressOf(e)
	if err != nil {
		return endpoint.Host{}, err
	}
	h := endpoint.Host{Address: address}
	h.ID = uint32(xxhash.Sum64String(address))
	h.Weight = defaultWeight
	if w := e.GetLoadBalancingWeight(); w != nil {
		if w.GetValue() == 0 {
			return endpoint.Host{}, errors.New("load_balancing_weight: 1 or more expected")
		}
		h.Weight = float64(w.GetValue()) / weightUnit
	}
	h.State = stateOf(e.GetHealthStatus())
	m := metadata{fields: e.GetMetadata().GetFilterMetadata()[Metadata].GetFields()}
	if size := m.integer("size", 0, maxSize); size > 0 { // a traffic plan may set the weight; the size describes the host itself
		h.Weight = size / weightUnit
	}
	h.Build = int(m.requiredInteger("build", maxBuild))
	h.StartedAt = policy.Time(m.integer("up", 0, maxStartedMs)) * ticksPerMillisecond
	h.Cell = int(m.integer("cell", 0, maxCell))
	h.ID = uint32(m.integer("id", float64(h.ID), math.MaxUint32))
	return h, m.err
}

func addressOf(e *endpointv3.LbEndpoint) (string, error) {
	s := e.GetEndpoint().GetAddress().GetSocketAddress()
	ip, err := netip.ParseAddr(s.GetAddress())
	if err != nil || s.GetPortValue() == 0 || s.GetPortValue() > math.MaxUint16 {
		return "", fmt.Errorf("socket_address: an IP address and a port expected, not %q:%d", s.GetAddress(), s.GetPortValue())
	}
	return netip.AddrPortFrom(ip, uint16(s.GetPortValue())).String(), nil
}

// stateOf maps a health status to an endpoint state. UNHEALTHY and TIMEOUT endpoints must not be used at all.
func stateOf(s corev3.HealthStatus) policy.EndpointState {
	switch s {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY, corev3.HealthStatus_DEGRADED:
		return policy.Serving
	case corev3.HealthStatus_DRAINING:
		return policy.Draining
	default:
		return policy.Removed
	}
}

// metadata reads numbers from an endpoint's metadata and records the first error.
type metadata struct {
	fields map[string]*structpb.Value
	err    error
}

// requiredInteger returns the whole number under name, which must be present and from 0 to maximum.
func (m *metadata) requiredInteger(name string, maximum float64) float64 {
	if _, ok := m.fields[name]; !ok {
		m.fail("metadata %s.%s is missing", Metadata, name)
		return -1
	}
	return m.integer(name, 0, maximum)
}

// integer returns the whole number under name, which must be from 0 to maximum, or the default value if it is absent.
func (m *metadata) integer(name string, defaultValue, maximum float64) float64 {
	value, ok := m.fields[name]
	if !ok {
		return defaultValue
	}
	n, isNumber := value.GetKind().(*structpb.Value_NumberValue)
	if !isNumber || n.NumberValue != math.Trunc(n.NumberValue) || n.NumberValue < 0 || n.NumberValue > maximum {
		m.fail("metadata %s.%s: a whole number from 0 to %s expected, not %v", Metadata, name,
			strconv.FormatFloat(maximum, 'f', 0, 64), value)
		return 0
	}
	return n.NumberValue
}

func (m *metadata) fail(format string, values ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, values...)
	}
}
