package record

import (
	"google.golang.org/protobuf/encoding/protowire"

	"dapplefront/policy"
	"dapplefront/router"
)

// Fields of the message Listed, which stores a router.EndpointsChanged.
const (
	endpointsComplete = 1
	endpointsHost     = 2
)

func appendEndpointsChanged(b *encoder, e router.EndpointsChanged) {
	b.bool(endpointsComplete, e.Complete)
	for _, h := range e.Hosts {
		b.message(endpointsHost, func(b *encoder) { appendHost(b, h) })
	}
}

func decodeEndpointsChanged(message []byte) (router.Event, error) {
	var e router.EndpointsChanged
	err := eachField(message, func(f field) error {
		switch f.number {
		case endpointsComplete:
			e.Complete = f.bool()
		case endpointsHost:
			h, err := decodeHost(f.bytes)
			e.Hosts = append(e.Hosts, h)
			return err
		}
		return nil
	})
	return e, err
}

// Fields of the message Host, which stores a router.Host.
const (
	hostID        = 1
	hostZone      = 2
	hostCell      = 3
	hostState     = 4
	hostBuild     = 5
	hostWeight    = 6
	hostStartedAt = 7
)

func appendHost(b *encoder, h router.Host) {
	b.uint(hostID, uint64(h.ID))
	b.text(hostZone, h.Zone)
	b.int(hostCell, int64(h.Cell))
	b.int(hostState, int64(h.State))
	b.int(hostBuild, int64(h.Build))
	b.float(hostWeight, h.Weight)
	b.int(hostStartedAt, int64(h.StartedAt))
}

func decodeHost(message []byte) (h router.Host, err error) {
	err = eachField(message, func(f field) error {
		switch f.number {
		case hostID:
			h.ID = f.uint32()
		case hostZone:
			h.Zone = f.text()
		case hostCell:
			h.Cell = f.int()
		case hostState:
			h.State = policy.EndpointState(f.int())
		case hostBuild:
			h.Build = f.int()
		case hostWeight:
			h.Weight = f.float()
		case hostStartedAt:
			h.StartedAt = f.time()
		}
		return nil
	})
	return h, err
}

// Fields of the message Complained, which stores a router.ComplaintReceived.
const (
	complaintHost  = 1
	complaintClass = 2
	complaintAge   = 3
)

func appendComplaintReceived(b *encoder, e router.ComplaintReceived) {
	b.uint(complaintHost, uint64(e.Host))
	b.text(complaintClass, e.Class)
	b.int(complaintAge, int64(e.Age))
}

func decodeComplaintReceived(message []byte) (router.Event, error) {
	var e router.ComplaintReceived
	err := eachField(message, func(f field) error {
		switch f.number {
		case complaintHost:
			e.Host = f.uint32()
		case complaintClass:
			e.Class = f.text()
		case complaintAge:
			e.Age = f.time()
		}
		return nil
	})
	return e, err
}

// Fields of the message Probed, which stores a router.HealthChecked.
const (
	healthHost    = 1
	healthOutcome = 2
	healthLatency = 3
	healthLoad    = 4
)

func appendHealthChecked(b *encoder, e router.HealthChecked) {
	b.uint(healthHost, uint64(e.Host))
	b.int(healthOutcome, int64(e.Outcome))
	b.int(healthLatency, int64(e.Latency))
	appendLoad(b, healthLoad, e.Load)
}

func decodeHealthChecked(message []byte) (router.Event, error) {
	var e router.HealthChecked
	err := eachField(message, func(f field) (err error) {
		switch f.number {
		case healthHost:
			e.Host = f.uint32()
		case healthOutcome:
			e.Outcome = policy.Outcome(f.int())
		case healthLatency:
			e.Latency = f.time()
		case healthLoad:
			e.Load, err = decodeLoad(f.bytes)
		}
		return err
	})
	return e, err
}

// Fields of the message Load, which stores a policy.LoadReport.
const (
	loadActiveRequests    = 1
	loadQueuedRequests    = 2
	loadCPUUtilization    = 3
	loadMeanLatency       = 4
	loadRequestsPerSecond = 5
)

// appendLoad appends a load report, or nothing if l is nil.
func appendLoad(b *encoder, number protowire.Number, l *policy.LoadReport) {
	if l == nil {
		return
	}
	b.message(number, func(b *encoder) {
		b.float(loadActiveRequests, l.ActiveRequests)
		b.float(loadQueuedRequests, l.QueuedRequests)
		b.float(loadCPUUtilization, l.CPUUtilization)
		b.float(loadMeanLatency, l.MeanLatency)
		b.float(loadRequestsPerSecond, l.RequestsPerSecond)
	})
}

func decodeLoad(message []byte) (*policy.LoadReport, error) {
	l := &policy.LoadReport{}
	err := eachField(message, func(f field) error {
		switch f.number {
		case loadActiveRequests:
			l.ActiveRequests = f.float()
		case loadQueuedRequests:
			l.QueuedRequests = f.float()
		case loadCPUUtilization:
			l.CPUUtilization = f.float()
		case loadMeanLatency:
			l.MeanLatency = f.float()
		case loadRequestsPerSecond:
			l.RequestsPerSecond = f.float()
		}
		return nil
	})
	return l, err
}
