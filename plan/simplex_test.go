package plan

import (
	"math/big"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// bestCorner returns the least values of two goals, optimized one after the other, over all corners of the feasible set, in
// which each row's sum is at most its bound and each column is 0 or more. It computes a corner for each choice of as many
// tight bounds as there are columns.
func bestCorner(rows [][]int64, bounds []int64, first, second []int64) (a, b *big.Rat) {
	n := len(first)
	all := append([][]int64{}, rows...)
	right := append([]int64{}, bounds...)
	for j := range n {
		r := make([]int64, n)
		r[j] = -1
		all, right = append(all, r), append(right, 0)
	}
	value := func(x []*big.Rat, c []int64) *big.Rat {
		sum := new(big.Rat)
		for j, v := range x {
			sum.Add(sum, new(big.Rat).Mul(v, big.NewRat(c[j], 1)))
		}
		return sum
	}
	var pick func(from int, some []int)
	pick = func(from int, some []int) {
		if len(some) == n {
			x := intersection(all, right, some)
			if x == nil {
				return
			}
			for i, r := range all {
				if value(x, r).Cmp(big.NewRat(right[i], 1)) > 0 {
					return
				}
			}
			v, w := value(x, first), value(x, second)
			if a == nil || v.Cmp(a) < 0 || v.Cmp(a) == 0 && w.Cmp(b) < 0 {
				a, b = v, w
			}
			return
		}
		for i := from; i < len(all); i++ {
			pick(i+1, append(some, i))
		}
	}
	pick(0, nil)
	return a, b
}

// intersection returns the point at which the rows with the given indices are tight; nil if there is not exactly one.
func intersection(rows [][]int64, right []int64, some []int) []*big.Rat {
	n := len(some)
	m := make([][]*big.Rat, n)
	for i, r := range some {
		for j := range n {
			m[i] = append(m[i], big.NewRat(rows[r][j], 1))
		}
		m[i] = append(m[i], big.NewRat(right[r], 1))
	}
	for c := range n {
		p := c
		for p < n && m[p][c].Sign() == 0 {
			p++
		}
		if p == n {
			return nil
		}
		m[c], m[p] = m[p], m[c]
		for i := range n {
			if i == c || m[i][c].Sign() == 0 {
				continue
			}
			f := new(big.Rat).Quo(m[i][c], m[c][c])
			for j := c; j <= n; j++ {
				m[i][j] = new(big.Rat).Sub(m[i][j], new(big.Rat).Mul(f, m[c][j]))
			}
		}
	}
	x := make([]*big.Rat, n)
	for i := range n {
		x[i] = new(big.Rat).Quo(m[i][n], m[i][i])
	}
	return x
}

func TestSimplex_MeetsGoalsInOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		n, m := 1+r.IntN(4), 1+r.IntN(4)
		rows, bounds := make([][]int64, 0), []int64{}
		for range m {
			row := make([]int64, n)
			for j := range row {
				row[j] = int64(r.IntN(9) - 3)
			}
			rows, bounds = append(rows, row), append(bounds, int64(r.IntN(6)))
		}
		all := make([]int64, n) // this row bounds every goal
		first, second := make([]int64, n), make([]int64, n)
		for j := range n {
			all[j], first[j], second[j] = 1, int64(r.IntN(7)-3), int64(r.IntN(7)-3)
		}
		rows, bounds = append(rows, all), append(bounds, 10)
		a, b := bestCorner(rows, bounds, first, second)
		s := newSimplex(n)
		for i, row := range rows {
			var terms []term
			for j, v := range row {
				terms = append(terms, smallTerm(j, v))
			}
			s.addRow(big.NewInt(bounds[i]), -1, terms...)
		}
		s.addSlacks()
		got := func(cost []int64) *big.Rat {
			c := map[int]int64{}
			for j, v := range cost {
				c[j] = v
			}
			s.minimize(c)
			sum := new(big.Rat)
			for j, v := range cost {
				sum.Add(sum, new(big.Rat).Mul(s.value(j), big.NewRat(v, 1)))
			}
			return sum
		}
		require.Zero(t, a.Cmp(got(first)), "rows %v bounds %v goal %v", rows, bounds, first)
		require.Zero(t, b.Cmp(got(second)), "rows %v bounds %v goals %v then %v", rows, bounds, first, second)
	}
}
