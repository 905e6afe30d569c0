package plan

import (
	"errors"
	"fmt"
	"math/big"
)

// evaluation is the traffic that results if routers follow the weights.
type evaluation struct {
	maxUtilization float64 // largest utilization of a host, relative to its capacity without the reserve
	crossZoneRate  float64 // requests per second
}

// evaluate computes in integers the load of each host if routers follow the weights, and returns an error that lists the
// limits that this would break. Integer weights can't match shares exactly. Therefore, the work and the request rate of a
// host may exceed their limits by a millionth, which is less than routers can count, and hosts may use the reserve.
func (s *Step) evaluate(weights map[string]Weights) (evaluation, error) {
	e := evaluator{step: s, weights: weights, denominator: big.NewInt(nano), sums: make([]weightSums, len(s.demands))}
	for g, d := range s.demands {
		e.addDemand(g, d)
	}
	for g, d := range s.demands {
		e.addLoads(g, d)
	}
	for _, p := range s.pools {
		for _, h := range p.hosts {
			e.addHost(h)
		}
	}
	return e.result, errors.Join(e.errs...)
}

// evaluator evaluates weights. Rates and work are integers over a common denominator.
type evaluator struct {
	step        *Step
	weights     map[string]Weights
	denominator *big.Int
	sums        []weightSums // by demand
	loads       []tableLoad
	result      evaluation
	errs        []error

	work, rate, product, bound big.Int // buffers
}

// weightSums are the sums of the weights in a zone's table.
type weightSums struct{ local, remote uint64 }

// tableLoad is the load that one table of weights puts on hosts.
type tableLoad struct {
	weights    map[string]uint64
	work, rate *big.Int // per unit of weight
}

func (e *evaluator) fail(format string, values ...any) {
	e.errs = append(e.errs, fmt.Errorf(format, values...))
}

// addDemand checks the weights of a zone and multiplies the denominator by their sums.
func (e *evaluator) addDemand(g int, d zoneDemand) {
	w := e.weights[d.zone]
	e.sums[g] = weightSums{local: e.sum(d, w.Local), remote: e.sum(d, w.Remote)}
	sums := e.sums[g]
	if sums.local == 0 && w.CrossZoneShare < nano || sums.remote == 0 && w.CrossZoneShare > 0 {
		if e.served(g).Sign() > 0 {
			e.fail("no host has a weight for requests of zone %s", d.zone)
		}
		return
	}
	for _, n := range []uint64{sums.local, sums.remote} {
		if n > 0 {
			e.denominator = new(big.Int).Mul(e.denominator, new(big.Int).SetUint64(n))
		}
	}
	crossZone := big.NewRat(int64(w.CrossZoneShare), nano)
	crossZone.Mul(crossZone, e.served(g))
	if limit := e.step.limits.MaxCrossZone; limit < 1 && crossZone.Cmp(big.NewRat(toMicros(limit), micro)) > 0 {
		e.fail("%.4g%% of the requests of zone %s go to other zones, which exceeds the limit", float64(w.CrossZoneShare)/nano*100, d.zone)
	}
	e.result.crossZoneRate += float64(w.CrossZoneShare) / nano * float64(d.rate) / micro
}

// sum returns the sum of the weights and checks that their hosts can get requests.
func (e *evaluator) sum(d zoneDemand, weights map[string]uint64) (sum uint64) {
	for name, w := range weights {
		if m, ok := e.step.members[name]; !ok || m.isCanary {
			e.fail("host %s has a weight for zone %s, but can't get requests", name, d.zone)
		}
		sum += w
	}
	return sum
}

// served returns the share of a zone's requests that is not shed, which is 1 in a step that was not solved.
func (e *evaluator) served(g int) *big.Rat {
	served := big.NewRat(1, 1)
	if e.step.shed != nil {
		served.Sub(served, e.step.shed[g])
	}
	return served
}

// addLoads adds the loads of both tables of a zone.
func (e *evaluator) addLoads(g int, d zoneDemand) {
	w := e.weights[d.zone]
	e.addLoad(g, d, w.Local, e.sums[g].local, nano-min(nano, w.CrossZoneShare))
	e.addLoad(g, d, w.Remote, e.sums[g].remote, w.CrossZoneShare)
}

// addLoad adds the load of a table that distributes a part of a zone's requests. The part is in billionths.
func (e *evaluator) addLoad(g int, d zoneDemand, weights map[string]uint64, sum, part uint64) {
	if sum == 0 {
		return
	}
	served := e.served(g)
	perWeight := new(big.Int).Div(e.denominator, new(big.Int).SetUint64(sum))
	perWeight.Mul(perWeight, new(big.Int).SetUint64(part))
	perWeight.Mul(perWeight, served.Num())
	perWeight.Div(perWeight, new(big.Int).Mul(served.Denom(), big.NewInt(nano)))
	e.loads = append(e.loads, tableLoad{
		weights, new(big.Int).Mul(perWeight, big.NewInt(d.work)), new(big.Int).Mul(perWeight, big.NewInt(d.rate)),
	})
}

// addHost computes the load of a host and checks it against the host's limits.
func (e *evaluator) addHost(h hostCapacity) {
	e.work.SetInt64(0)
	e.rate.SetInt64(0)
	for _, l := range e.loads {
		if w := l.weights[h.host.Name]; w > 0 {
			e.product.SetUint64(w)
			e.work.Add(&e.work, new(big.Int).Mul(l.work, &e.product))
			e.rate.Add(&e.rate, e.product.Mul(l.rate, &e.product))
		}
	}
	if !e.within(&e.work, h.unreserved) {
		e.fail("the work for host %s would exceed its capacity", h.host.Name)
	}
	if h.maxRate >= 0 && !e.within(&e.rate, h.maxRate) {
		e.fail("the request rate for host %s would exceed its bound of %.4g requests/s", h.host.Name, float64(h.maxRate)/micro)
	}
	capacity := new(big.Int).Mul(e.denominator, big.NewInt(max(1, h.work)))
	utilization, _ := new(big.Rat).SetFrac(&e.work, capacity).Float64()
	e.result.maxUtilization = max(e.result.maxUtilization, utilization)
}

// within reports whether a figure is within a limit, with a tolerance of a millionth of the sum of the limit and one unit.
func (e *evaluator) within(got *big.Int, limit int64) bool {
	const unit = micro // one second of work or one request, in millionths
	e.bound.Mul(big.NewInt(limit), e.denominator)
	e.product.Mul(big.NewInt(limit+unit), e.denominator)
	e.bound.Add(&e.bound, e.product.Div(&e.product, big.NewInt(micro)))
	return got.Cmp(&e.bound) <= 0
}
