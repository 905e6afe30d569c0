package plan

import (
	"math/big"

	"dapplefront/policy"
)

// ShadowTraffic is the planned traffic from a zone to the canary build. It consists of shadow requests only.
type ShadowTraffic struct {
	Zone        string
	AllowedRate float64    // requests per second that the stage's cap allows
	PlannedRate float64    // the part of AllowedRate that the canary hosts can serve
	rate        *big.Rat   // PlannedRate in millionths
	work        *big.Rat   // millionths of a second of work per second
	shares      []*big.Rat // by canary pool
}

// planShadows distributes each zone's shadow requests over the canary hosts of the same zone: as many as the stage's cap
// and the hosts' capacity allow.
func (s *Step) planShadows(m *Model, stage int) {
	for _, d := range s.demands {
		s.Shadows = append(s.Shadows, s.planZoneShadows(m, d, stage))
	}
}

func (s *Step) planZoneShadows(m *Model, d zoneDemand, stage int) ShadowTraffic {
	var pools []pool
	var indices []int // into canaryPools
	for p, x := range s.canaryPools {
		if x.zone == d.zone {
			pools, indices = append(pools, x), append(indices, p)
		}
	}
	rate, work := d.shadowDemand(m, m.Release, stage)
	t := ShadowTraffic{Zone: d.zone, rate: rate, work: work, shares: make([]*big.Rat, len(s.canaryPools))}
	for p := range t.shares {
		t.shares[p] = new(big.Rat)
	}
	t.AllowedRate, _ = new(big.Rat).Quo(rate, big.NewRat(micro, 1)).Float64()
	if rate.Sign() > 0 {
		perRequest := new(big.Rat).Quo(work, rate)
		if capacity := shadowCapacity(pools, perRequest); capacity.Cmp(rate) < 0 {
			t.rate, t.work = capacity, new(big.Rat).Mul(capacity, perRequest)
		}
		if t.rate.Sign() > 0 {
			for i, share := range fillPools(pools, t.work, t.rate) {
				t.shares[indices[i]] = share
			}
		}
	}
	t.PlannedRate, _ = new(big.Rat).Quo(t.rate, big.NewRat(micro, 1)).Float64()
	return t
}

// shadowCapacity returns the rate at which pools can serve requests. perRequest is the work of one request.
func shadowCapacity(pools []pool, perRequest *big.Rat) *big.Rat {
	sum := new(big.Rat)
	for _, x := range pools {
		rate := new(big.Rat).Quo(big.NewRat(x.work, 1), perRequest)
		if bound := big.NewRat(x.maxRate, 1); x.maxRate >= 0 && bound.Cmp(rate) < 0 {
			rate = bound
		}
		sum.Add(sum, rate)
	}
	return sum
}

// shadowDemand returns the rate and the work, in millionths per second, of the shadow requests that a stage allows for a
// zone.
func (d zoneDemand) shadowDemand(m *Model, r *Release, stage int) (rate, work *big.Rat) {
	var eligible, load int64
	for i, c := range m.Classes {
		if c.Idempotency == policy.Idempotent || c.Idempotency == policy.IdempotentWithKey && stage >= r.GuardedStages {
			eligible += d.classRates[i]
			load += ceilMicros(float64(d.classRates[i]) / micro * c.Work)
		}
	}
	if eligible == 0 {
		return new(big.Rat), new(big.Rat)
	}
	capped := d.rate
	if r.CapPerClass {
		capped = eligible
	}
	rate = new(big.Rat).Mul(big.NewRat(toMicros(r.Stages[stage].ShadowCap), micro), big.NewRat(capped, 1))
	if all := big.NewRat(eligible, 1); all.Cmp(rate) < 0 {
		rate = all // a request has at most one shadow request
	}
	return rate, new(big.Rat).Mul(rate, big.NewRat(load, eligible))
}
