package plan

import "math/big"

// simplex is a linear program in whole numbers, solved without a rounding: the tableau holds integers over one common
// denominator, and each pivot divides by the last pivot, which leaves no remainder (Bareiss, Sylvester's Identity and
// Multistep Integer-Preserving Gaussian Elimination, 1968; for the tableau: Edmonds and Maurras, 1997). Pivots go by
// Bland's rule (New Finite Pivoting Rules for the Simplex Method, 1977), so that it always ends, and the outcome depends
// on the order of rows and columns alone, not on the scale of the figures.
//
// Its rows are sums that must stay at or below a bound of 0 or more, or equal it where a column that stands in that
// row alone takes the rest; so all columns at 0 is a solution to start from.
//
// Goals are met one after the other (lexicographic programming): once a goal is met, columns that would harm it are
// barred for good, so that later goals move only where all earlier ones stay as they are.
type simplex struct {
	rows    [][]*big.Int // the last entry of each is the bound
	den     *big.Int
	basis   []int // by row, the column that is in the solution
	rowOf   []int // by column, its row, or -1
	barred  []bool
	slack   []int // by row, its slack column or -1
	columns int

	t1, t2 big.Int
}

func newSimplex(columns int) *simplex {
	s := &simplex{den: big.NewInt(1), columns: columns, rowOf: make([]int, columns), barred: make([]bool, columns)}
	for i := range s.rowOf {
		s.rowOf[i] = -1
	}
	return s
}

// term is a column's part of a row.
type term struct {
	column int
	factor *big.Int
}

// smallTerm is a term with a figure that fits a word.
func smallTerm(column int, by int64) term { return term{column, big.NewInt(by)} }

// addRow adds one. With rest at 0 or above, that column takes up what is left of the bound, and must stand nowhere
// else; else a slack does, and the row is an upper bound. It is for use before the first goal only.
func (s *simplex) addRow(bound *big.Int, rest int, terms ...term) int {
	r := make([]*big.Int, s.columns)
	for _, t := range terms {
		if r[t.column] == nil {
			r[t.column] = new(big.Int)
		}
		r[t.column].Add(r[t.column], t.factor)
	}
	if rest >= 0 {
		r[rest] = big.NewInt(1)
		s.rowOf[rest] = len(s.rows)
	}
	s.rows = append(s.rows, append(r, new(big.Int).Set(bound)))
	s.basis = append(s.basis, rest)
	s.slack = append(s.slack, -1)
	return len(s.rows) - 1
}

// addSlacks gives all rows without a rest their slacks.
func (s *simplex) addSlacks() {
	for i, b := range s.basis {
		if b < 0 {
			s.basis[i] = s.columns
			s.slack[i] = s.columns
			s.rowOf = append(s.rowOf, i)
			s.barred = append(s.barred, false)
			s.columns++
		}
	}
	for i, r := range s.rows {
		wide := make([]*big.Int, s.columns+1)
		copy(wide, r[:len(r)-1])
		wide[s.columns] = r[len(r)-1]
		for j, v := range wide {
			if v == nil {
				wide[j] = new(big.Int)
			}
		}
		if s.slack[i] >= 0 {
			wide[s.slack[i]].SetInt64(1)
		}
		s.rows[i] = wide
	}
}

// addColumn adds one whose part in each row is given by weights of those rows' slacks (B^-1 a is the same sum of the
// slacks' columns). It returns its number.
func (s *simplex) addColumn(by map[int]int64) int {
	c := s.columns
	for i, r := range s.rows {
		v := new(big.Int)
		for row, w := range by {
			v.Add(v, s.t1.Mul(s.rows[i][s.slack[row]], big.NewInt(w)))
		}
		bound := r[s.columns]
		s.rows[i] = append(r[:s.columns:s.columns], v, bound)
	}
	s.columns++
	s.rowOf, s.barred = append(s.rowOf, -1), append(s.barred, false)
	return c
}

// minimize brings the sum of cost times column down as far as it goes and bars what would raise it again.
// The sum must be bounded below.
func (s *simplex) minimize(cost map[int]int64) {
	// The price of each column: its own cost less that of the columns it would push out, times the denominator.
	price := make([]*big.Int, s.columns+1)
	for j := range price {
		v := new(big.Int)
		if c, ok := cost[j]; ok {
			v.Mul(big.NewInt(c), s.den)
		}
		for i, b := range s.basis {
			if c, ok := cost[b]; ok && s.rows[i][j].Sign() != 0 {
				v.Sub(v, s.t1.Mul(s.rows[i][j], big.NewInt(c)))
			}
		}
		price[j] = v
	}
	for {
		in := -1
		for j := range s.columns {
			if !s.barred[j] && s.rowOf[j] < 0 && price[j].Sign() < 0 {
				in = j
				break
			}
		}
		if in < 0 {
			break
		}
		out := s.leavingRow(in)
		if out < 0 {
			panic("plan: a goal without a bound, which the model's rows rule out")
		}
		s.pivot(out, in, price)
	}
	for j := range s.columns {
		if s.rowOf[j] < 0 && price[j].Sign() > 0 {
			s.barred[j] = true
		}
	}
}

// leavingRow is the row that binds first as a column grows; of equals, the one whose column has the lowest number.
func (s *simplex) leavingRow(in int) (out int) {
	out = -1
	for i, r := range s.rows {
		if r[in].Sign() <= 0 {
			continue
		}
		if out < 0 {
			out = i
			continue
		}
		o := s.rows[out]
		c := s.t1.Mul(r[s.columns], o[in]).Cmp(s.t2.Mul(o[s.columns], r[in]))
		if c < 0 || c == 0 && s.basis[i] < s.basis[out] {
			out = i
		}
	}
	return out
}

func (s *simplex) pivot(row, column int, price []*big.Int) {
	r := s.rows[row]
	p := r[column]
	one := s.den.Cmp(big.NewInt(1)) == 0
	change := func(x []*big.Int) {
		f := new(big.Int).Set(x[column])
		for j, v := range x {
			if v.Sign() != 0 {
				v.Mul(v, p)
			}
			if f.Sign() != 0 && r[j].Sign() != 0 {
				v.Sub(v, s.t1.Mul(f, r[j]))
			}
			if !one && v.Sign() != 0 {
				v.Quo(v, s.den)
			}
		}
	}
	for i, x := range s.rows {
		if i != row {
			change(x)
		}
	}
	change(price)
	s.den = new(big.Int).Set(p)
	s.rowOf[s.basis[row]] = -1
	s.basis[row], s.rowOf[column] = column, row
}

// value is what a column is in the solution.
func (s *simplex) value(column int) *big.Rat {
	if s.rowOf[column] < 0 {
		return new(big.Rat)
	}
	return new(big.Rat).SetFrac(s.rows[s.rowOf[column]][s.columns], s.den)
}

// isTight tells whether a row's bound binds in every solution that meets all goals so far, as far as barring tells.
func (s *simplex) isTight(row int) bool { return s.barred[s.slack[row]] }
