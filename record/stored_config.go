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
// the format and never change, whatever the fields of router.Place are called.

// storedConfig is a router.Place.
type storedConfig struct {
	Seed       uint64         `json:"Seed"`
	Routers    int            `json:"Routers"`
	Rank       int            `json:"Rank"`
	Location   string         `json:"Location"`
	Categories []storedClass  `json:"Categories"`
	Customers  []storedTenant `json:"Customers"`
	Limits     storedLimits   `json:"Limits"`
	Desk       storedRelease  `json:"Desk"`
}

// storedClass is a router.Category.
type storedClass struct {
	Name      string             `json:"Name"`
	Repeat    policy.Idempotency `json:"Repeat"`
	Group     policy.DedupScope  `json:"Group"`
	Memory    policy.Time        `json:"Memory"`
	Promised  policy.Time        `json:"Promised"`
	Earnings  float64            `json:"Earnings"`
	LateShare float64            `json:"LateShare"`
}

// storedTenant is a router.Customer.
type storedTenant struct {
	Name      string  `json:"Name"`
	PerSecond float64 `json:"PerSecond"`
}

// storedLimits is a logic.Limits.
type storedLimits struct {
	Grace       policy.Time `json:"Grace"`
	Cold        policy.Time `json:"Cold"`
	ColdShare   float64     `json:"ColdShare"`
	Tip         float64     `json:"Tip"`
	TipFor      policy.Time `json:"TipFor"`
	AskWithin   policy.Time `json:"AskWithin"`
	MaxSends    int         `json:"MaxSends"`
	MaxOpen     int         `json:"MaxOpen"`
	TwoAtOnce   bool        `json:"TwoAtOnce"`
	LongestStay policy.Time `json:"LongestStay"`
	Pushed      bool        `json:"Pushed"`
	Peers       int         `json:"Peers"`
	Probes      bool        `json:"Probes"`
	CrossPrice  float64     `json:"CrossPrice"`
	WastePrice  float64     `json:"WastePrice"`
	OverShare   float64     `json:"OverShare"`
}

// storedRelease is a logic.Desk.
type storedRelease struct {
	Control      policy.PromotionMode `json:"Control"`
	Caps         []float64            `json:"Caps"`
	LeastTime    policy.Time          `json:"LeastTime"`
	ClockTime    policy.Time          `json:"ClockTime"`
	ToMoveOn     int                  `json:"ToMoveOn"`
	ToAbort      int                  `json:"ToAbort"`
	VoteLife     policy.Time          `json:"VoteLife"`
	VoteTimeout  policy.Time          `json:"VoteTimeout"`
	VotesASecond float64              `json:"VotesASecond"`
	Window       policy.Time          `json:"Window"`
	Free         float64              `json:"Free"`
	ByCategory   bool                 `json:"ByCategory"`
	Guarded      int                  `json:"Guarded"`
	KeysStay     bool                 `json:"KeysStay"`
	DelayPrice   float64              `json:"DelayPrice"`
	HarmPrice    float64              `json:"HarmPrice"`
	Complaints   float64              `json:"Complaints"`
	Counted      float64              `json:"Counted"`
}

// marshalConfig returns the stored form of a configuration.
func marshalConfig(p router.Config) ([]byte, error) { return json.Marshal(toStored(p)) }

// unmarshalConfig reads the stored form of a configuration. A field that this version doesn't know is an error: it
// can't be replayed as it was.
func unmarshalConfig(text []byte) (*router.Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var stored storedConfig
	if err := decoder.Decode(&stored); err != nil {
		return nil, fmt.Errorf("stored configuration: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("stored configuration: something follows its end")
	}
	p := stored.config()
	return &p, nil
}

func toStored(p router.Config) storedConfig {
	stored := storedConfig{
		Seed: p.Seed, Routers: p.Routers, Rank: p.Rank, Location: p.Zone,
		Limits: toStoredLimits(p.Limits), Desk: toStoredRelease(p.Release),
	}
	for _, c := range p.Classes {
		stored.Categories = append(stored.Categories, toStoredClass(c))
	}
	for _, c := range p.Tenants {
		stored.Customers = append(stored.Customers, toStoredTenant(c))
	}
	return stored
}

func (s storedConfig) config() router.Config {
	p := router.Config{
		Seed: s.Seed, Routers: s.Routers, Rank: s.Rank, Zone: s.Location,
		Limits: s.Limits.limits(), Release: s.Desk.release(),
	}
	for _, c := range s.Categories {
		p.Classes = append(p.Classes, c.class())
	}
	for _, c := range s.Customers {
		p.Tenants = append(p.Tenants, c.tenant())
	}
	return p
}

func toStoredClass(c router.Class) storedClass {
	return storedClass{
		Name: c.Name, Repeat: c.Idempotency, Group: c.DedupScope, Memory: c.DedupWindow, Promised: c.LatencyObjective,
		Earnings: c.PriorityWeight, LateShare: c.LateValueShare,
	}
}

func (s storedClass) class() router.Class {
	return router.Class{
		Name: s.Name, Idempotency: s.Repeat, DedupScope: s.Group, DedupWindow: s.Memory, LatencyObjective: s.Promised,
		PriorityWeight: s.Earnings, LateValueShare: s.LateShare,
	}
}

func toStoredTenant(c router.Tenant) storedTenant {
	return storedTenant{
		Name: c.Name, PerSecond: c.QuotaPerSecond,
	}
}

func (s storedTenant) tenant() router.Tenant {
	return router.Tenant{
		Name: s.Name, QuotaPerSecond: s.PerSecond,
	}
}

func toStoredLimits(l policy.Limits) storedLimits {
	return storedLimits{
		Grace: l.DrainGrace, Cold: l.WarmUp, ColdShare: l.ColdCapacity, Tip: l.ColdOverloadFactor, TipFor: l.ColdOverloadWindow, AskWithin: l.PollInterval,
		MaxSends: l.MaxAttempts, MaxOpen: l.MaxOpen, TwoAtOnce: l.AllowHedging, LongestStay: l.MaxRetryAfter,
		Pushed: l.PushedDiscovery, Peers: l.MaxGossipBytes, Probes: l.HealthChecks, CrossPrice: l.CrossZonePrice, WastePrice: l.WastePrice,
		OverShare: l.OverQuotaValueShare,
	}
}

func (s storedLimits) limits() policy.Limits {
	return policy.Limits{
		DrainGrace: s.Grace, WarmUp: s.Cold, ColdCapacity: s.ColdShare, ColdOverloadFactor: s.Tip, ColdOverloadWindow: s.TipFor, PollInterval: s.AskWithin,
		MaxAttempts: s.MaxSends, MaxOpen: s.MaxOpen, AllowHedging: s.TwoAtOnce, MaxRetryAfter: s.LongestStay,
		PushedDiscovery: s.Pushed, MaxGossipBytes: s.Peers, HealthChecks: s.Probes, CrossZonePrice: s.CrossPrice, WastePrice: s.WastePrice,
		OverQuotaValueShare: s.OverShare,
	}
}

func toStoredRelease(d policy.ReleaseConfig) storedRelease {
	return storedRelease{
		Control: d.Mode, Caps: d.ExposureCaps, LeastTime: d.MinStageTime, ClockTime: d.StageTime, ToMoveOn: d.PromoteQuorum,
		ToAbort: d.RollbackQuorum, VoteLife: d.VoteTTL, VoteTimeout: d.VoteTimeout, VotesASecond: d.MaxVotesPerSecond,
		Window: d.ExposureWindow, Free: d.ExposureAllowance, ByCategory: d.ExposurePerClass, Guarded: d.GuardedStages, KeysStay: d.StickyKeys,
		DelayPrice: d.DelayPrice, HarmPrice: d.HarmPrice, Complaints: d.ComplaintShare, Counted: d.SampledShare,
	}
}

func (s storedRelease) release() policy.ReleaseConfig {
	return policy.ReleaseConfig{
		Mode: s.Control, ExposureCaps: s.Caps, MinStageTime: s.LeastTime, StageTime: s.ClockTime, PromoteQuorum: s.ToMoveOn,
		RollbackQuorum: s.ToAbort, VoteTTL: s.VoteLife, VoteTimeout: s.VoteTimeout, MaxVotesPerSecond: s.VotesASecond,
		ExposureWindow: s.Window, ExposureAllowance: s.Free, ExposurePerClass: s.ByCategory, GuardedStages: s.Guarded, StickyKeys: s.KeysStay,
		DelayPrice: s.DelayPrice, HarmPrice: s.HarmPrice, ComplaintShare: s.Complaints, SampledShare: s.Counted,
	}
}
