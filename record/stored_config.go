package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dapplefront/policy"
	"dapplefront/router"
)

// The types below are the stored form of a router's configuration. Their JSON names are those of the first version of
// the format and must never change, even if the fields are renamed.

// storedConfig is the stored form of router.Config.
type storedConfig struct {
	Seed    uint64         `json:"Seed"`
	Routers int            `json:"Routers"`
	Rank    int            `json:"Rank"`
	Zone    string         `json:"Location"`
	Classes []storedClass  `json:"Categories"`
	Tenants []storedTenant `json:"Customers"`
	Limits  storedLimits   `json:"Limits"`
	Release storedRelease  `json:"Desk"`
}

// storedClass is the stored form of router.Class.
type storedClass struct {
	Name             string             `json:"Name"`
	Idempotency      policy.Idempotency `json:"Repeat"`
	DedupScope       policy.DedupScope  `json:"Group"`
	DedupWindow      policy.Time        `json:"Memory"`
	LatencyObjective policy.Time        `json:"Promised"`
	PriorityWeight   float64            `json:"Earnings"`
	LateValueShare   float64            `json:"LateShare"`
}

// storedTenant is the stored form of router.Tenant.
type storedTenant struct {
	Name           string  `json:"Name"`
	QuotaPerSecond float64 `json:"PerSecond"`
}

// storedLimits is the stored form of policy.Limits.
type storedLimits struct {
	DrainGrace          policy.Time `json:"Grace"`
	WarmUp              policy.Time `json:"Cold"`
	ColdCapacity        float64     `json:"ColdShare"`
	ColdOverloadFactor  float64     `json:"Tip"`
	ColdOverloadWindow  policy.Time `json:"TipFor"`
	PollInterval        policy.Time `json:"AskWithin"`
	MaxAttempts         int         `json:"MaxSends"`
	MaxRequestsInFlight int         `json:"MaxOpen"`
	AllowHedging        bool        `json:"TwoAtOnce"`
	MaxRetryAfter       policy.Time `json:"LongestStay"`
	PushedDiscovery     bool        `json:"Pushed"`
	MaxGossipBytes      int         `json:"Peers"`
	HealthChecks        bool        `json:"Probes"`
	CrossZonePrice      float64     `json:"CrossPrice"`
	UnusedAttemptPrice  float64     `json:"WastePrice"`
	OverQuotaValueShare float64     `json:"OverShare"`
}

// storedRelease is the stored form of policy.ReleaseConfig.
type storedRelease struct {
	Mode              policy.PromotionMode `json:"Control"`
	ExposureCaps      []float64            `json:"Caps"`
	MinStageTime      policy.Time          `json:"LeastTime"`
	StageTime         policy.Time          `json:"ClockTime"`
	PromoteQuorum     int                  `json:"ToMoveOn"`
	RollbackQuorum    int                  `json:"ToAbort"`
	VoteTTL           policy.Time          `json:"VoteLife"`
	VoteTimeout       policy.Time          `json:"VoteTimeout"`
	MaxVotesPerSecond float64              `json:"VotesASecond"`
	ExposureWindow    policy.Time          `json:"Window"`
	ExposureAllowance float64              `json:"Free"`
	ExposurePerClass  bool                 `json:"ByCategory"`
	GuardedStages     int                  `json:"Guarded"`
	StickyKeys        bool                 `json:"KeysStay"`
	DelayPrice        float64              `json:"DelayPrice"`
	HarmPrice         float64              `json:"HarmPrice"`
	ComplaintShare    float64              `json:"Complaints"`
	SampledShare      float64              `json:"Counted"`
}

// marshalConfig returns the stored form of a configuration.
func marshalConfig(p router.Config) ([]byte, error) { return json.Marshal(toStored(p)) }

// unmarshalConfig parses the stored form of a configuration. It returns an error for a field that this version doesn't
// know, because a replay without that field could make other decisions.
func unmarshalConfig(text []byte) (*router.Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var stored storedConfig
	if err := decoder.Decode(&stored); err != nil {
		return nil, fmt.Errorf("stored configuration: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("stored configuration: unexpected data after the JSON value")
	}
	p := stored.config()
	return &p, nil
}

func toStored(p router.Config) storedConfig {
	stored := storedConfig{
		Seed: p.Seed, Routers: p.Routers, Rank: p.Rank, Zone: p.Zone,
		Limits: toStoredLimits(p.Limits), Release: toStoredRelease(p.Release),
	}
	for _, c := range p.Classes {
		stored.Classes = append(stored.Classes, toStoredClass(c))
	}
	for _, c := range p.Tenants {
		stored.Tenants = append(stored.Tenants, toStoredTenant(c))
	}
	return stored
}

func (s storedConfig) config() router.Config {
	p := router.Config{
		Seed: s.Seed, Routers: s.Routers, Rank: s.Rank, Zone: s.Zone,
		Limits: s.Limits.limits(), Release: s.Release.release(),
	}
	for _, c := range s.Classes {
		p.Classes = append(p.Classes, c.class())
	}
	for _, c := range s.Tenants {
		p.Tenants = append(p.Tenants, c.tenant())
	}
	return p
}

func toStoredClass(c router.Class) storedClass {
	return storedClass{
		Name: c.Name, Idempotency: c.Idempotency, DedupScope: c.DedupScope, DedupWindow: c.DedupWindow, LatencyObjective: c.LatencyObjective,
		PriorityWeight: c.PriorityWeight, LateValueShare: c.LateValueShare,
	}
}

func (s storedClass) class() router.Class {
	return router.Class{
		Name: s.Name, Idempotency: s.Idempotency, DedupScope: s.DedupScope, DedupWindow: s.DedupWindow, LatencyObjective: s.LatencyObjective,
		PriorityWeight: s.PriorityWeight, LateValueShare: s.LateValueShare,
	}
}

func toStoredTenant(c router.Tenant) storedTenant {
	return storedTenant{
		Name: c.Name, QuotaPerSecond: c.QuotaPerSecond,
	}
}

func (s storedTenant) tenant() router.Tenant {
	return router.Tenant{
		Name: s.Name, QuotaPerSecond: s.QuotaPerSecond,
	}
}

func toStoredLimits(l policy.Limits) storedLimits {
	return storedLimits{
		DrainGrace: l.DrainGrace, WarmUp: l.WarmUp, ColdCapacity: l.ColdCapacity, ColdOverloadFactor: l.ColdOverloadFactor, ColdOverloadWindow: l.ColdOverloadWindow, PollInterval: l.PollInterval,
		MaxAttempts: l.MaxAttempts, MaxRequestsInFlight: l.MaxRequestsInFlight, AllowHedging: l.AllowHedging, MaxRetryAfter: l.MaxRetryAfter,
		PushedDiscovery: l.PushedDiscovery, MaxGossipBytes: l.MaxGossipBytes, HealthChecks: l.HealthChecks, CrossZonePrice: l.CrossZonePrice, UnusedAttemptPrice: l.UnusedAttemptPrice,
		OverQuotaValueShare: l.OverQuotaValueShare,
	}
}

func (s storedLimits) limits() policy.Limits {
	return policy.Limits{
		DrainGrace: s.DrainGrace, WarmUp: s.WarmUp, ColdCapacity: s.ColdCapacity, ColdOverloadFactor: s.ColdOverloadFactor, ColdOverloadWindow: s.ColdOverloadWindow, PollInterval: s.PollInterval,
		MaxAttempts: s.MaxAttempts, MaxRequestsInFlight: s.MaxRequestsInFlight, AllowHedging: s.AllowHedging, MaxRetryAfter: s.MaxRetryAfter,
		PushedDiscovery: s.PushedDiscovery, MaxGossipBytes: s.MaxGossipBytes, HealthChecks: s.HealthChecks, CrossZonePrice: s.CrossZonePrice, UnusedAttemptPrice: s.UnusedAttemptPrice,
		OverQuotaValueShare: s.OverQuotaValueShare,
	}
}

func toStoredRelease(d policy.ReleaseConfig) storedRelease {
	return storedRelease{
		Mode: d.Mode, ExposureCaps: d.ExposureCaps, MinStageTime: d.MinStageTime, StageTime: d.StageTime, PromoteQuorum: d.PromoteQuorum,
		RollbackQuorum: d.RollbackQuorum, VoteTTL: d.VoteTTL, VoteTimeout: d.VoteTimeout, MaxVotesPerSecond: d.MaxVotesPerSecond,
		ExposureWindow: d.ExposureWindow, ExposureAllowance: d.ExposureAllowance, ExposurePerClass: d.ExposurePerClass, GuardedStages: d.GuardedStages, StickyKeys: d.StickyKeys,
		DelayPrice: d.DelayPrice, HarmPrice: d.HarmPrice, ComplaintShare: d.ComplaintShare, SampledShare: d.SampledShare,
	}
}

func (s storedRelease) release() policy.ReleaseConfig {
	return policy.ReleaseConfig{
		Mode: s.Mode, ExposureCaps: s.ExposureCaps, MinStageTime: s.MinStageTime, StageTime: s.StageTime, PromoteQuorum: s.PromoteQuorum,
		RollbackQuorum: s.RollbackQuorum, VoteTTL: s.VoteTTL, VoteTimeout: s.VoteTimeout, MaxVotesPerSecond: s.MaxVotesPerSecond,
		ExposureWindow: s.ExposureWindow, ExposureAllowance: s.ExposureAllowance, ExposurePerClass: s.ExposurePerClass, GuardedStages: s.GuardedStages, StickyKeys: s.StickyKeys,
		DelayPrice: s.DelayPrice, HarmPrice: s.HarmPrice, ComplaintShare: s.ComplaintShare, SampledShare: s.SampledShare,
	}
}
