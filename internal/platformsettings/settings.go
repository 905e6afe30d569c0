// Package platformsettings maps the operators' settings of a router to the configuration of its policy. The section
// "Parameters" in the operators' page on the simulator's wire defines the paths and values of the settings, such as
// Categories, Parties and Obligations; only this package and package node use them. The simulator sends the settings as
// path=value pairs, the platform as nested JSON. Both forms become Values first, so that the same settings give the same
// configuration. Times are in microseconds.
package platformsettings

import (
	"fmt"

	"dapplefront/policy"
	"dapplefront/router"
)

// Values of settings that take one of a fixed set of values.
const (
	semanticsRepeatable = "repeatable"
	semanticsByKey      = "by_key"
	semanticsOnce       = "once"

	scopeAll  = "all"
	scopeZone = "zone"
	scopeCell = "cell"

	registryPushed    = "pushed"
	registryOnRequest = "on_request"

	controlAny   = "any"
	controlShare = "share"
	controlTimer = "timer"

	countsAll   = "all"
	countsClass = "class"
)

// Maps from values of the settings to the policy's constants. A value that is not listed maps to the zero value.
var (
	idempotencies = map[string]policy.Idempotency{semanticsRepeatable: policy.Idempotent, semanticsByKey: policy.IdempotentWithKey,
		semanticsOnce: policy.NonIdempotent}
	dedupScopes    = map[string]policy.DedupScope{scopeZone: policy.ZoneScope, scopeCell: policy.CellScope}
	promotionModes = map[string]policy.PromotionMode{controlShare: policy.Quorum, controlTimer: policy.Timed}
)

// maxGossipBytes is the maximum size of a message between routers. The operators' page on the simulator's wire defines it;
// the settings don't include it.
const maxGossipBytes = 256

// Settings are the settings of a router, converted to the configuration of its policy.
type Settings struct {
	Router      router.Config
	Report      ReportFields
	StatsWindow policy.Time // the period that the release controller's statistics cover
}

// Read converts settings that satisfy Check. The seed is an argument because the settings don't contain it.
func Read(v Values, seed uint64) Settings {
	s := Settings{Report: v.List("Report.Fields")}
	s.Router = router.Config{Seed: seed, Routers: int(v.Int("Balancers")), Rank: int(v.Int("Rank")), Zone: v["MyZone"],
		Classes: readClasses(v), Tenants: readTenants(v), Limits: readLimits(v), Release: readRelease(v)}
	if v.Int("Extra.MetricsPeriodUs") > 0 {
		s.Router.Release.SampledShare, s.StatsWindow = v.Float("Extra.SampledShare"), v.time("Extra.MetricsPeriodUs")
	}
	return s
}

func readClasses(v Values) (classes []router.Class) {
	for i := range v.count("Categories") {
		path := fmt.Sprintf("Categories.%d.", i)
		classes = append(classes, router.Class{
			Name:             v[path+"Name"],
			LatencyObjective: v.time(path + "AimUs"),
			PriorityWeight:   v.Float(path + "Importance"),
			LateValueShare:   v.Float(path + "LateValue"),
			Idempotency:      idempotencies[v[path+"Semantics"]],
			DedupScope:       dedupScopes[v[path+"DedupScope"]],
			DedupWindow:      v.time(path + "WindowUs"),
		})
	}
	return classes
}

func readTenants(v Values) (tenants []router.Tenant) {
	for i := range v.count("Parties") {
		path := fmt.Sprintf("Parties.%d.", i)
		tenants = append(tenants, router.Tenant{Name: v[path+"Name"], QuotaPerSecond: v.Float(path + "QuotaPerS")})
	}
	return tenants
}

func readLimits(v Values) policy.Limits {
	l := policy.Limits{
		DrainGrace:          v.time("Obligations.DrainGraceUs"),
		WarmUp:              v.time("Obligations.ColdUs"),
		ColdCapacity:        v.Float("Obligations.StartCapacity"),
		ColdOverloadFactor:  v.Float("Obligations.TipMultiple"),
		ColdOverloadWindow:  v.time("Obligations.OverloadForUs"),
		PollInterval:        v.time("Obligations.AskWithinUs"),
		MaxAttempts:         int(v.Int("Permissions.MaxAttempts")),
		MaxRequestsInFlight: int(v.Int("Permissions.MaxOpen")),
		AllowHedging:        v.Bool("Permissions.SecondCopies"),
		HealthChecks:        v.Bool("Permissions.Probes"),
		PushedDiscovery:     v["RegistryMode"] == registryPushed,
		CrossZonePrice:      v.Float("Prices.CrossZone"),
		UnusedAttemptPrice:  v.Float("Prices.Waste"),
		OverQuotaValueShare: v.Float("OverShareWorth"),
	}
	if v.Bool("Permissions.Peers") {
		l.MaxGossipBytes = maxGossipBytes
	}
	if v.Bool("Permissions.RetryAfter") {
		l.MaxRetryAfter = v.time("Permissions.MaxRetryAfterUs")
	}
	return l
}

func readRelease(v Values) policy.ReleaseConfig {
	r := policy.ReleaseConfig{
		Mode:              promotionModes[v["Extra.Control"]],
		PromoteQuorum:     int(v.Int("Extra.AyesNeeded")),
		RollbackQuorum:    int(v.Int("Extra.ToAbort")),
		VoteTTL:           v.time("Extra.VoteStandsUs"),
		VoteTimeout:       v.time("Extra.CallTimeoutUs"),
		MaxVotesPerSecond: v.Float("Extra.VoteAllowance"),
		ExposureWindow:    v.time("Extra.ExposureWindowUs"),
		ExposureAllowance: v.Float("Extra.Free"),
		ExposurePerClass:  v["Extra.Counts"] == countsClass,
		GuardedStages:     int(v.Int("Extra.GuardedStages")),
		StickyKeys:        v.Bool("Extra.KeysStay"),
		DelayPrice:        v.Float("Extra.LagFee"),
		HarmPrice:         v.Float("Extra.HarmFee"),
		ComplaintShare:    v.Float("Extra.ComplaintShare"),
		MinStageTime:      v.time("Extra.BakeUs"),
		StageTime:         v.time("Extra.StageTimeUs"),
	}
	for _, exposureCap := range v.List("Extra.StageCap") {
		r.ExposureCaps = append(r.ExposureCaps, float(exposureCap))
	}
	return r
}
