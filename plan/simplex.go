package plan

import "math/big"

// simplex is a linear program in integers, solved without rounding: the tableau holds integers over one common
// denominator, and each pivot divides by the last pivot, which leaves no remainder (Bareiss, Sylvester's Identity and
// Multistep Integer-Preserving Gaussian Elimination, 1968; for the tableau: Edmonds and Maurras, 1997). Pivots follow
// Bland's rule (New Finite Pivoting Rules for the Simplex Method, 1977), so that it always ends, and the result depends
// only on the order of rows and columns, not on the scale of the figures.
//
// A row is a sum that must be at most a bound of 0 or more, or equal to it where a column that is in no other row takes
// the rest. So all columns at 0 is a feasible start.
//
// Goals are met one after the other (lexicographic programming): once a goal is met, columns that would harm it are barred
// for good, so that later goals change only what leaves all earlier ones as they are.
type simplex struct {
	rows        [][]*big.Int // the last entry of each is the bound
	denominator *big.Int
	basis       []int  // by row, the column that is in the solution
	rowOf       []int  // by column, its row in the basis, or -1
	barred      []bool // by column
	slack       []int  // by row, its slack column or -1
	columns     int

	product1, product2 big.Int // buffers
}

func newSimplex(columns int) *simplex {
	s := &simplex{denominator: big.NewInt(1), columns: columns, rowOf: make([]int, columns), barred: make([]bool, columns)}
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

// smallTerm is a term whose factor fits 64 bits.
func smallTerm(column int, factor int64) term { return term{column, big.NewInt(factor)} }

// addRow adds a row and returns its number. A column rest of 0 or above takes what is left of the bound and must be in no
// other row; with a negative rest a slack does, and the row is an upper bound. All rows are added before addSlacks.
func (s *simplex) addRow(bound *big.Int, rest int, terms ...term) int {
	row := make([]*big.Int, s.columns)
	for _, t := range terms {
		if row[t.column] == nil {
			row[t.column] = new(big.Int)
		}
		row[t.column].Add(row[t.column], t.factor)
	}
	if rest >= 0 {
		row[rest] = big.NewInt(1)
		s.rowOf[rest] = len(s.rows)
	}
	s.rows = append(s.rows, append(row, new(big.Int).Set(bound)))
	s.basis = append(s.basis, rest)
	s.slack = append(s.slack, -1)
	return len(s.rows) - 1
}

// addSlacks gives all rows without a rest their slacks. It is called once, before the first goal.
func (s *simplex) addSlacks() {
	for i, column := range s.basis {
		if column < 0 {
			s.basis[i] = s.columns
			s.slack[i] = s.columns
			s.rowOf = append(s.rowOf, i)
			s.barred = append(s.barred, false)
			s.columns++
		}
	}
	for i, row := range s.rows {
		wide := make([]*big.Int, s.columns+1)
		copy(wide, row[:len(row)-1])
		wide[s.columns] = row[len(row)-1]
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

// addColumn adds a column whose part in each row is given by factors of rows' slacks (B^-1 a is the same sum of the
// slacks' columns), and returns its number.
func (s *simplex) addColumn(factors map[int]int64) int {
	column := s.columns
	for i, r := range s.rows {
		v := new(big.Int)
		for row, factor := range factors {
			v.Add(v, s.product1.Mul(s.rows[i][s.slack[row]], big.NewInt(factor)))
		}
		bound := r[s.columns]
		s.rows[i] = append(r[:s.columns:s.columns], v, bound)
	}
	s.columns++
	s.rowOf, s.barred = append(s.rowOf, -1), append(s.barred, false)
	return column
}

// minimize minimizes the sum of cost times column and bars the columns that would raise it again. The sum must be bounded
// below.
func (s *simplex) minimize(cost map[int]int64) {
	price := s.prices(cost)
	for {
		entering := s.enteringColumn(price)
		if entering < 0 {
			break
		}
		leaving := s.leavingRow(entering)
		if leaving < 0 {
			panic("plan: a goal without a bound, which the model's rows rule out")
		}
		s.pivot(leaving, entering, price)
	}
	for j := range s.columns {
		if s.rowOf[j] < 0 && price[j].Sign() > 0 {
			s.barred[j] = true
		}
	}
}

// prices returns the price of each column, times the denominator: its own cost less that of the columns that it would
// push out.
func (s *simplex) prices(cost map[int]int64) []*big.Int {
	price := make([]*big.Int, s.columns+1)
	for j := range price {
		v := new(big.Int)
		if c, ok := cost[j]; ok {
			v.Mul(big.NewInt(c), s.denominator)
		}
		for i, column := range s.basis {
			if c, ok := cost[column]; ok && s.rows[i][j].Sign() != 0 {
				v.Sub(v, s.product1.Mul(s.rows[i][j], big.NewInt(c)))
			}
		}
		price[j] = v
	}
	return price
}

// enteringColumn returns the first column that lowers the cost; -1 for none.
func (s *simplex) enteringColumn(price []*big.Int) int {
	for j := range s.columns {
		if !s.barred[j] && s.rowOf[j] < 0 && price[j].Sign() < 0 {
			return j
		}
	}
	return -1
}

// leavingRow returns the row that binds first as a column grows, of equals the one whose column has the lowest number; -1
// for none.
func (s *simplex) leavingRow(entering int) int {
	best := -1
	for i, r := range s.rows {
		if r[entering].Sign() <= 0 {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		b := s.rows[best]
		order := s.product1.Mul(r[s.columns], b[entering]).Cmp(s.product2.Mul(b[s.columns], r[entering]))
		if order < 0 || order == 0 && s.basis[i] < s.basis[best] {
			best = i
		}
	}
	return best
}

// pivot puts a column into the basis in place of a row's.
func (s *simplex) pivot(row, column int, price []*big.Int) {
	pivotRow := s.rows[row]
	for i, r := range s.rows {
		if i != row {
			s.eliminate(r, pivotRow, column)
		}
	}
	s.eliminate(price, pivotRow, column)
	s.denominator = new(big.Int).Set(pivotRow[column])
	s.rowOf[s.basis[row]] = -1
	s.basis[row], s.rowOf[column] = column, row
}

// eliminate removes a column from a row, by multiples of the pivot row. The division leaves no remainder.
func (s *simplex) eliminate(row, pivotRow []*big.Int, column int) {
	pivot := pivotRow[column]
	divide := s.denominator.Cmp(big.NewInt(1)) != 0
	factor := new(big.Int).Set(row[column])
	for j, v := range row {
		if v.Sign() != 0 {
			v.Mul(v, pivot)
		}
		if factor.Sign() != 0 && pivotRow[j].Sign() != 0 {
			v.Sub(v, s.product1.Mul(factor, pivotRow[j]))
		}
		if divide && v.Sign() != 0 {
			v.Quo(v, s.denominator)
		}
	}
}

// value returns a column's value in the solution.
func (s *simplex) value(column int) *big.Rat {
	if s.rowOf[column] < 0 {
		return new(big.Rat)
	}
	return new(big.Rat).SetFrac(s.rows[s.rowOf[column]][s.columns], s.denominator)
}

// isTight reports whether a row's bound is reached in every solution that meets all goals so far, as far as barred columns
// show it.
func (s *simplex) isTight(row int) bool { return s.barred[s.slack[row]] }
