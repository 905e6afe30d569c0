package upstream

import (
	"net/http"
	"slices"

	"dapplefront/internal/http1"
	"dapplefront/internal/orca"
	"dapplefront/policy"
)

// Headers of this project's own protocol that are also used outside DefaultProtocol.
const (
	NotStartedHeader = "Dapplefront-Unseen" // response header; with the value 1, the host has not started the request that it rejects
	RouterHeader     = "Dapplefront-Router" // request header; the router's name
)

// Protocol describes what differs between protocols: the headers of attempts and the meaning of responses.
type Protocol struct {
	// Names of the request headers of an attempt. Timeout is required; if another name is empty, that header is not sent.
	// TimeoutUnit is the unit that is written after the value of the timeout.
	Timeout, TimeoutUnit, Attempt, Router, Class string

	ForwardedHeaders   bool   // attempts have Via and X-Forwarded-For
	NotStarted         string // name of the header that says, with the value 1, that a host has not started the request it rejects
	NotStartedStatuses []int  // response statuses with which that header counts; with others it is ignored
	OnlyStatusOK       bool   // only a response with status 200 is a success
	StartsWhenComplete bool   // a host starts a request only when its last byte has arrived
	// Load reads the load report of a response. The report is nil if the response has none.
	Load func(*http1.Message) (*policy.LoadReport, error)
}

// DefaultProtocol is this project's own protocol.
var DefaultProtocol = &Protocol{
	Timeout:            "Dapplefront-Within",
	TimeoutUnit:        "ms",
	Attempt:            "Dapplefront-Send",
	Router:             RouterHeader,
	Class:              "Dapplefront-Category",
	ForwardedHeaders:   true,
	NotStarted:         NotStartedHeader,
	NotStartedStatuses: []int{http.StatusServiceUnavailable},
	Load:               parseLoadReport,
}

// parseLoadReport reads an ORCA load report from a response's headers.
func parseLoadReport(m *http1.Message) (*policy.LoadReport, error) {
	if text, ok := m.Lookup(orca.Header); ok {
		report, err := orca.Parse(text)
		if err != nil {
			return nil, err
		}
		return orca.Load(report), nil
	}
	if text, ok := m.Lookup(orca.BinHeader); ok {
		report, err := orca.ParseBin(text)
		if err != nil {
			return nil, err
		}
		return orca.Load(report), nil
	}
	return nil, nil
}

// outcome returns the outcome of an attempt that got a response.
func (p *Protocol) outcome(m *http1.Message) policy.Outcome {
	notStarted := ""
	if slices.Contains(p.NotStartedStatuses, m.Status) {
		notStarted = m.Get(p.NotStarted)
	}
	switch {
	case notStarted == "1":
		return policy.Rejected
	case m.Status >= http.StatusInternalServerError || m.Status == http.StatusSwitchingProtocols ||
		p.OnlyStatusOK && m.Status != http.StatusOK:
		return policy.Failed
	}
	return policy.Succeeded
}
