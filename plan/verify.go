package plan

import (
	"fmt"
	"math/big"
)

// verify goes through every bound, host by host, with the shares as they are handed out and figures taken from the model
// anew, in exact rationals. It trusts nothing that the solver worked out.
func (s *Step) verify(m *Model, hosts []Host, stage, trial int) error {
	b := s.bounds
	one := big.NewRat(1, 1)
	origins := m.origins(m.Forecast[indexOf(m, s)])
	work, tasks := map[string]*big.Rat{}, map[string]*big.Rat{} // by host
	add := func(to map[string]*big.Rat, name string, v *big.Rat) {
		if to[name] == nil {
			to[name] = new(big.Rat)
		}
		to[name].Add(to[name], v)
	}
	all := rooms(hosts, b, s.At, trial)
	for g, o := range origins {
		sum, crosses := new(big.Rat).Set(s.shed[g]), new(big.Rat)
		for _, r := range all {
			x := s.Share(o.name, r.host.Name)
			if x.Sign() == 0 {
				continue
			}
			if x.Sign() < 0 {
				return fmt.Errorf("%s gets less than nothing from %s", r.host.Name, o.name)
			}
			if r.onTest {
				return fmt.Errorf("%s runs the build on trial, but gets tasks from %s", r.host.Name, o.name)
			}
			sum.Add(sum, x)
			if r.host.Zone != o.name {
				crosses.Add(crosses, x)
			}
			add(work, r.host.Name, new(big.Rat).Mul(x, big.NewRat(o.work, 1)))
			add(tasks, r.host.Name, new(big.Rat).Mul(x, big.NewRat(o.rate, 1)))
		}
		if sum.Cmp(one) != 0 || s.shed[g].Sign() < 0 {
			return fmt.Errorf("shares of %s sum up to %s", o.name, sum.FloatString(9))
		}
		if b.Cross < 1 && crosses.Cmp(big.NewRat(fix(b.Cross), unit)) > 0 {
			return fmt.Errorf("%s of the tasks of %s cross", crosses.FloatString(9), o.name)
		}
	}
	for _, c := range s.Copies {
		allowed := new(big.Rat)
		for _, o := range origins {
			if o.name == c.Place {
				allowed, _ = o.copies(m, m.Release, stage)
			}
		}
		if c.rate.Cmp(allowed) > 0 {
			return fmt.Errorf("copies in %s go beyond the cap of stage %d", c.Place, stage+1)
		}
		for _, r := range all {
			if x := s.CopyShare(c.Place, r.host.Name); x.Sign() != 0 {
				if !r.onTest {
					return fmt.Errorf("%s gets copies, but does not run the build on trial", r.host.Name)
				}
				add(work, r.host.Name, new(big.Rat).Mul(x, c.work))
				add(tasks, r.host.Name, new(big.Rat).Mul(x, c.rate))
			}
		}
	}
	workOf, capOf := map[string]*big.Rat{}, map[string]int64{}
	var workAll, capAll int64
	for _, o := range origins {
		workAll += o.work
	}
	for _, r := range all {
		w, n := work[r.host.Name], tasks[r.host.Name]
		if !r.onTest {
			capOf[r.host.Zone] += r.work
			capAll += r.work
		}
		if w == nil {
			continue
		}
		if w.Cmp(big.NewRat(r.work, 1)) > 0 {
			return fmt.Errorf("%s gets %s of work, %d can be done", r.host.Name, w.FloatString(3), r.work)
		}
		if r.tasks >= 0 && n.Cmp(big.NewRat(r.tasks, 1)) > 0 {
			return fmt.Errorf("%s gets %s tasks, %d are allowed", r.host.Name, n.FloatString(3), r.tasks)
		}
		if !r.onTest {
			add(workOf, r.host.Zone, w)
		}
	}
	for place, w := range workOf {
		if b.Between > 0 && w.Cmp(new(big.Rat).SetInt(share(fix(b.Between), workAll, capOf[place], capAll))) > 0 {
			return fmt.Errorf("%s is used more than the balance between locations allows", place)
		}
	}
	if b.Within == 0 {
		return nil
	}
	for _, r := range all {
		if w := work[r.host.Name]; w != nil && !r.onTest {
			most := new(big.Rat).Mul(big.NewRat(fix(b.Within), unit), workOf[r.host.Zone])
			most.Mul(most, big.NewRat(r.work, capOf[r.host.Zone]))
			if w.Cmp(most) > 0 {
				return fmt.Errorf("%s is used more than the balance within its location allows", r.host.Name)
			}
		}
	}
	return nil
}

func indexOf(m *Model, s *Step) int {
	for i, f := range m.Forecast {
		if f.At == s.At {
			return i
		}
	}
	return 0
}

// Share is the exact part of the tasks taken in a location that a host gets; 0 for one that the step doesn't know.
func (s *Step) Share(origin, host string) *big.Rat {
	at, ok := s.poolOf[host]
	if !ok || at.test {
		return new(big.Rat)
	}
	for g, o := range s.origins {
		if o.name == origin {
			return new(big.Rat).Mul(s.to[g][at.pool], big.NewRat(at.work, s.pools[at.pool].work))
		}
	}
	return new(big.Rat)
}

// CopyShare is the exact part of the copies made in a location that a host on trial gets.
func (s *Step) CopyShare(origin, host string) *big.Rat {
	at, ok := s.poolOf[host]
	if !ok || !at.test {
		return new(big.Rat)
	}
	for _, c := range s.Copies {
		if c.Place == origin {
			return new(big.Rat).Mul(c.to[at.pool], big.NewRat(at.work, s.trial[at.pool].work))
		}
	}
	return new(big.Rat)
}

// Unserved is how much is shed, in tasks a second.
func (s *Step) Unserved() float64 {
	sum := new(big.Rat)
	for g, o := range s.origins {
		sum.Add(sum, new(big.Rat).Mul(s.shed[g], big.NewRat(o.rate, unit)))
	}
	v, _ := sum.Float64()
	return v
}

// Crossing is how many tasks a second cross, of an origin, or of all with "".
func (s *Step) Crossing(origin string) float64 {
	sum := new(big.Rat)
	for g, o := range s.origins {
		for p, x := range s.pools {
			if x.place != o.name && (origin == "" || origin == o.name) {
				sum.Add(sum, new(big.Rat).Mul(s.to[g][p], big.NewRat(o.rate, unit)))
			}
		}
	}
	v, _ := sum.Float64()
	return v
}

// Use is how much of what a location's hosts can do, less the reserve, is planned to be used; with "" of all hosts.
func (s *Step) Use(location string) float64 {
	sum, cap := new(big.Rat), int64(0)
	for p, x := range s.pools {
		if location != "" && x.place != location {
			continue
		}
		cap += x.work
		for g, o := range s.origins {
			sum.Add(sum, new(big.Rat).Mul(s.to[g][p], big.NewRat(o.work, 1)))
		}
	}
	if cap == 0 {
		return 0
	}
	v, _ := sum.Quo(sum, big.NewRat(cap, 1)).Float64()
	return v
}

// Uses are the uses of all pools that get tasks, with how many hosts each has, in the order of locations.
func (s *Step) Uses() (out []Use) {
	for p, x := range s.pools {
		sum, n := new(big.Rat), new(big.Rat)
		for g, o := range s.origins {
			sum.Add(sum, new(big.Rat).Mul(s.to[g][p], big.NewRat(o.work, x.work)))
			n.Add(n, new(big.Rat).Mul(s.to[g][p], big.NewRat(o.rate, unit)))
		}
		u := Use{Place: x.place, Hosts: len(x.rooms), Cold: x.cold, Can: float64(x.work) / unit, Most: -1, exact: sum}
		if x.tasks >= 0 {
			u.Most = float64(x.tasks) / unit
		}
		u.Of, _ = sum.Float64()
		u.Tasks, _ = n.Float64()
		out = append(out, u)
	}
	return out
}

// Use is how much a pool of hosts is used.
type Use struct {
	Place string
	Hosts int
	Cold  bool
	Can   float64 // seconds of work a second, less the reserve
	Most  float64 // tasks a second at most; -1 for no bound
	Tasks float64 // a second
	Of    float64 // of what they can do
	exact *big.Rat
}
