// Package platformsettings reads what a router is told at its start, in the operators' words: dotted paths with a value each. The
// simulator hands them over in pairs, the platform's configuration as nested JSON; both come through here, so that the
// two can't differ. Microseconds become tenths of a millisecond.
package platformsettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"dapplefront/policy"
	"dapplefront/router"
)

const tenth = 100 // microseconds

// FromMicroseconds turns microseconds into the module's time.
func FromMicroseconds(us int64) policy.Time { return policy.Time(us / tenth) }

// Values are values by path. A list of objects stands as its count and its numbered parts, one of plain values with
// commas between.
type Values map[string]string

// Int is the whole number at path; none if it is absent or not a number.
func (p Values) Int(path string) int64 { return int64(p.Float(path)) }

// Float is the number at path; 0 if it is absent or not a number.
func (p Values) Float(path string) float64 {
	f, _ := strconv.ParseFloat(p[path], 64)
	return f
}

// Bool tells whether path is switched on.
func (p Values) Bool(path string) bool { return p[path] == "true" || p[path] == "1" }

// List is the list of plain values at path.
func (p Values) List(path string) []string {
	if p[path] == "" {
		return nil
	}
	return strings.Split(p[path], ",")
}

func (p Values) time(path string) policy.Time { return FromMicroseconds(p.Int(path)) }

// Flatten reads a JSON object as pairs.
func Flatten(text []byte) (Values, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var all map[string]any
	if err := d.Decode(&all); err != nil {
		return nil, err
	}
	p := Values{}
	for name, v := range all {
		if err := p.put(name, v); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p Values) put(path string, v any) error {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if err := p.put(path+"."+name, inner); err != nil {
				return err
			}
		}
	case []any:
		var plain []string
		for i, inner := range v {
			switch inner.(type) {
			case map[string]any, []any:
				if err := p.put(fmt.Sprintf("%s.%d", path, i), inner); err != nil {
					return err
				}
			default:
				plain = append(plain, fmt.Sprint(inner))
			}
		}
		switch {
		case plain == nil:
			p[path+".count"] = strconv.Itoa(len(v))
		case len(plain) < len(v):
			return fmt.Errorf("%s: plain values and others in one list", path)
		default:
			p[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		p[path] = fmt.Sprint(v)
	}
	return nil
}

// Settings are what an instance is told at its start.
type Settings struct {
	Router      router.Config
	Report      ReportFields
	StatsWindow policy.Time // the span of the desk's counts
}

// Read reads terms; the seed comes apart from them.
func Read(p Values, seed uint64) Settings {
	t := Settings{Report: p.List("Report.Fields")}
	place := router.Config{Seed: seed, Routers: int(p.Int("Balancers")), Rank: int(p.Int("Rank")), Zone: p["MyZone"]}
	for i := range int(p.Int("Categories.count")) {
		at := fmt.Sprintf("Categories.%d.", i)
		c := router.Class{Name: p[at+"Name"], LatencyObjective: p.time(at + "AimUs"), PriorityWeight: p.Float(at + "Importance"),
			LateValueShare: p.Float(at + "LateValue"), DedupWindow: p.time(at + "WindowUs")}
		c.Idempotency = map[string]policy.Idempotency{"repeatable": policy.Idempotent, "by_key": policy.IdempotentWithKey,
			"once": policy.NonIdempotent}[p[at+"Semantics"]]
		c.DedupScope = map[string]policy.DedupScope{"zone": policy.ZoneScope, "cell": policy.CellScope}[p[at+"DedupScope"]]
		place.Classes = append(place.Classes, c)
	}
	for i := range int(p.Int("Parties.count")) {
		at := fmt.Sprintf("Parties.%d.", i)
		place.Tenants = append(place.Tenants,
			router.Tenant{Name: p[at+"Name"], QuotaPerSecond: p.Float(at + "QuotaPerS")})
	}
	place.Limits = policy.Limits{DrainGrace: p.time("Obligations.DrainGraceUs"),
		WarmUp: p.time("Obligations.ColdUs"), ColdCapacity: p.Float("Obligations.StartCapacity"),
		ColdOverloadFactor: p.Float("Obligations.TipMultiple"), ColdOverloadWindow: p.time("Obligations.OverloadForUs"),
		PollInterval: p.time("Obligations.AskWithinUs"), MaxAttempts: int(p.Int("Permissions.MaxAttempts")),
		MaxOpen: int(p.Int("Permissions.MaxOpen")), AllowHedging: p.Bool("Permissions.SecondCopies"),
		PushedDiscovery: p["RegistryMode"] == "pushed", CrossZonePrice: p.Float("Prices.CrossZone"),
		WastePrice: p.Float("Prices.Waste"), OverQuotaValueShare: p.Float("OverShareWorth")}
	const message = 256 // bytes; the wire states it, its settings don't
	if p.Bool("Permissions.Peers") {
		place.Limits.MaxGossipBytes = message
	}
	place.Limits.HealthChecks = p.Bool("Permissions.Probes")
	if p.Bool("Permissions.RetryAfter") {
		place.Limits.MaxRetryAfter = p.time("Permissions.MaxRetryAfterUs")
	}
	place.Release = policy.ReleaseConfig{
		Mode:          map[string]policy.PromotionMode{"share": policy.Quorum, "timer": policy.Timed}[p["Extra.Control"]],
		PromoteQuorum: int(p.Int("Extra.AyesNeeded")), RollbackQuorum: int(p.Int("Extra.ToAbort")),
		VoteTTL: p.time("Extra.VoteStandsUs"), VoteTimeout: p.time("Extra.CallTimeoutUs"),
		MaxVotesPerSecond: p.Float("Extra.VoteAllowance"), ExposureWindow: p.time("Extra.ExposureWindowUs"),
		ExposureAllowance: p.Float("Extra.Free"), ExposurePerClass: p["Extra.Counts"] == "class",
		GuardedStages: int(p.Int("Extra.GuardedStages")), StickyKeys: p.Bool("Extra.KeysStay"),
		DelayPrice: p.Float("Extra.LagFee"), HarmPrice: p.Float("Extra.HarmFee"),
		ComplaintShare: p.Float("Extra.ComplaintShare"), MinStageTime: p.time("Extra.BakeUs"),
		StageTime: p.time("Extra.StageTimeUs")}
	if p.Int("Extra.MetricsPeriodUs") > 0 {
		place.Release.SampledShare, t.StatsWindow = p.Float("Extra.SampledShare"), p.time("Extra.MetricsPeriodUs")
	}
	for _, share := range p.List("Extra.StageCap") {
		place.Release.ExposureCaps = append(place.Release.ExposureCaps, Values{"": share}.Float(""))
	}
	t.Router = place
	return t
}

// ReportFields is the fields of a load report, in their order.
type ReportFields []string

// FromValues reads a report's figures in the fields' order; what is not reported is negative.
func (r ReportFields) FromValues(figures []float64) *policy.LoadReport {
	if figures == nil {
		return nil
	}
	l := unreported()
	for i := range min(len(r), len(figures)) {
		setField(l, r[i], figures[i])
	}
	return l
}

// Parse reads a report of names with their figures, such as "active=7,rps=2.5". One that can't be read whole is none.
func (r ReportFields) Parse(text string) (*policy.LoadReport, error) {
	l := unreported()
	for pair := range strings.SplitSeq(text, ",") {
		name, figure, ok := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("the load report %q can't be read", text[:min(len(text), 100)])
		}
		setField(l, name, v)
	}
	return l, nil
}

func unreported() *policy.LoadReport {
	return &policy.LoadReport{ActiveRequests: -1, QueuedRequests: -1, CPUUtilization: -1, MeanLatency: -1, RequestsPerSecond: -1}
}

func setField(l *policy.LoadReport, field string, v float64) {
	switch field {
	case "active":
		l.ActiveRequests = v
	case "waiting":
		l.QueuedRequests = v
	case "cpu":
		l.CPUUtilization = v
	case "avg_ms":
		l.MeanLatency = v * 10
	case "rps":
		l.RequestsPerSecond = v
	}
}
