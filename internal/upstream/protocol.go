package upstream

import (
	"net/http"
	"slices"

	"dapplefront/internal/http1"
	"dapplefront/internal/orca"
	"dapplefront/policy"
)

// Headers of this project's own protocol that are used beside the protocol table.
const (
	NotStartedHeader = "Dapplefront-Unseen" // 1 in a response says that the host has not started the request it rejects
	RouterHeader     = "Dapplefront-Router" // of a request: the router's name
)

// Protocol is what differs by protocol in how hosts are spoken to and what their responses mean.
type Protocol struct {
	// Headers of an attempt, empty for none, and the unit that is written after the timeout.
	Timeout, TimeoutUnit, Attempt, Router, Class string

	ForwardedHeaders   bool   // Via and X-Forwarded-For tell whom an attempt comes from
	NotStarted         string // the header that says with 1 that a host has not started the request it rejects
	NotStartedStatuses []int  // the statuses that it may come with
	OnlyStatusOK       bool   // 200 alone is a success
	StartsWhenComplete bool   // a host starts a request once its last byte has arrived
	// Load reads the load report of a response; nil where there is none.
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

// outcome is what a response means.
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
