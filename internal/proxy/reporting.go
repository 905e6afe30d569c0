package proxy

import (
	"dapplefront/internal/api"
	"dapplefront/internal/eventloop"
	"dapplefront/policy"
	"dapplefront/router"
)

// Names of the outcomes of requests in reports to the controllers. They are part of the protocol.
const (
	reportedSucceeded = "finished"
	reportedRejected  = "turned back"
	reportedFailed    = "scrapped"
)

// ticksPerMs is the number of units of policy.Time in a millisecond.
const ticksPerMs = policy.Second / 1000

// releaseChanged handles a release status that a controller sent.
func (p *Proxy) releaseChanged(s policy.ReleaseStatus) {
	p.loop.Post(func() {
		p.latestBuild = s.Build
		p.handleEvent(router.ReleaseChanged{Status: s})
	})
}

// statsReported handles a controller's counts of a build's responses in one class.
func (p *Proxy) statsReported(c api.Counts) {
	p.loop.Post(func() {
		p.handleEvent(router.StatsReported{Build: c.Build, Class: c.Class, Failures: c.Failures, Samples: c.Samples,
			MeanLatency: policy.Time(c.MeanMs * float64(ticksPerMs)), Age: policy.Time(c.AgeMs) * ticksPerMs,
			Window: eventloop.FromDuration(p.config.ControlPlane.StatsWindow)})
	})
}

// complaintReceived handles a client's complaint about a wrong response.
func (p *Proxy) complaintReceived(c api.Complaint) {
	p.postEvent(router.ComplaintReceived{Host: c.Host, Class: c.Class, Age: policy.Time(c.AgeMs) * ticksPerMs})
}

// planOffered handles a version of a plan. It rejects a version that can't be decoded.
func (p *Proxy) planOffered(plan api.Plan) {
	offer, err := plan.ToOffer()
	if err != nil {
		p.log.Warn("invalid plan", "error", err)
		p.releases.AcknowledgePlan(plan.Version, err.Error())
		return
	}
	p.postEvent(router.PlanOffered{Offer: offer})
}

// reportOutcomes reports the outcomes of requests by build to the controllers, and schedules the next report.
func (p *Proxy) reportOutcomes() {
	const interval = 2 * policy.Second // the shortest stages of a release last about this long
	for build, outcomes := range p.outcomes {
		p.releases.Report(build, outcomes)
	}
	clear(p.outcomes)
	p.loop.After(interval, p.reportOutcomes)
}

// countOutcome counts the outcome of a request for the build of its host (request.host). If the request has no host, or
// the host is unknown, the outcome counts for the build in the latest release status. Before the first status there is no
// such build, and the outcome is not counted.
func (p *Proxy) countOutcome(outcome string, r *request) {
	build := p.latestBuild
	if endpoint, ok := p.endpoints[r.host]; ok && r.host != 0 {
		build = endpoint.Build
	}
	if build == 0 {
		return
	}
	if p.outcomes[build] == nil {
		p.outcomes[build] = map[string]int{}
	}
	p.outcomes[build][outcome]++
}
