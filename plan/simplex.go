package plan

import "math/big"

// simplex is a linear program in integers that is solved without rounding. The tableau holds integers over one common
// denominator, and each pivot step divides by the previous pivot, which leaves no remainder (Bareiss, Sylvester's Identity
// and Multistep Integer-Preserving Gaussian Elimination, 1968; for the tableau: Edmonds and Maurras, 1997). Pivots follow
// Bland's rule (New Finite Pivoting Rules for the Simplex Method, 1977). Therefore, the algorithm always terminates, and
// the result depends only on the order of rows and columns, not on the scale of the figures.
//
// A row is a sum of columns with an upper bound of 0 or more. If the row has a remainder column, which is in no other row,
// the sum equals the bound. Otherwise a slack column takes the difference. Therefore, the solution in which all columns
// except the remainder and slack columns are 0 is feasible. It is the starting point.
//
// Goals are met one after the other (lexicographic programming). Once a goal is met, the columns that would worsen it are
// excluded from the basis permanently, so that later goals can't change the value of earlier ones.
type simplex struct {
	rows        [][]*big.Int // the last entry of each row is the bound
	denominator *big.Int
	basis       []int  // by row, the column that is in the solution
	rowOf       []int  // by column, its row in the basis, or -1
	excluded    []bool // by column
	slack       []int  // by row, its slack column or -1
	columns     int

	product1, product2 big.Int // buffers
}

func newSimplex(columns int) *simplex {
	s := &simplex{denominator: big.NewInt(1), columns: columns, rowOf: make([]int, columns), excluded: make([]bool, columns)}
	for i := range s.rowOf {
		s.rowOf[i] = -1
	}
	return s
}

// term is a column with its factor in a row.
type term struct {
	column int
	factor *big.Int
}

// smallTerm returns a term whose factor fits into 64 bits.
func smallTerm(column int, factor int64) term { return term{column, big.NewInt(factor)} }

// addRow adds a row and returns its number. If remainder is 0 or more, it is the column that takes the difference between
// the bound and the sum of the terms, and it must be in no other row. If it is negative, addSlacks adds a slack column, and
// the bound is an upper bound. All rows must be added before addSlacks is called.
func (s *simplex) addRow(bound *big.Int, remainder int, terms ...term) int {
	row := make([]*big.Int, s.columns)
	for _, t := range terms {
		if row[t.column] == nil {
			row[t.column] = new(big.Int)
		}
		row[t.column].Add(row[t.column], t.factor)
	}
	if remainder >= 0 {
		row[remainder] = big.NewInt(1)
		s.rowOf[remainder] = len(s.rows)
	}
	s.rows = append(s.rows, append(row, new(big.Int).Set(bound)))
	s.basis = append(s.basis, remainder)
	s.slack = append(s.slack, -1)
	return len(s.rows) - 1
}

// addSlacks adds slack columns for all rows without a remainder column. It is called once, before the first goal.
func (s *simplex) addSlacks() {
	for i, column := range s.basis {
		if column < 0 {
			s.basis[i] = s.columns
			s.slack[i] = s.columns
			s.rowOf = append(s.rowOf, i)
			s.excluded = append(s.excluded, false)
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

// addColumn adds a column and returns its number. factors gives the column's factor in each original row, by row. Its
// entries in the tableau, B^-1 a, are the sum of the slack columns of these rows times the factors.
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
	s.rowOf, s.excluded = append(s.rowOf, -1), append(s.excluded, false)
	return column
}

// minimize minimizes the sum of cost times column and excludes the columns that would increase it again. The sum must be
// bounded below.
func (s *simplex) minimize(cost map[int]int64) {
	reduced := s.reducedCosts(cost)
	for {
		entering := s.enteringColumn(reduced)
		if entering < 0 {
			break
		}
		leaving := s.leavingRow(entering)
		if leaving < 0 {
			panic("plan: the goal is unbounded, which the rows of the model rule out")
		}
		s.pivot(leaving, entering, reduced)
	}
	for j := range s.columns {
		if s.rowOf[j] < 0 && reduced[j].Sign() > 0 {
			s.excluded[j] = true
		}
	}
}

// reducedCosts returns the reduced cost of each column, times the denominator: the column's cost minus the cost of the basis
// columns that it would displace.
func (s *simplex) reducedCosts(cost map[int]int64) []*big.Int {
	reduced := make([]*big.Int, s.columns+1)
	for j := range reduced {
		v := new(big.Int)
		if c, ok := cost[j]; ok {
			v.Mul(big.NewInt(c), s.denominator)
		}
		for i, column := range s.basis {
			if c, ok := cost[column]; ok && s.rows[i][j].Sign() != 0 {
				v.Sub(v, s.product1.Mul(s.rows[i][j], big.NewInt(c)))
			}
		}
		reduced[j] = v
	}
	return reduced
}

// enteringColumn returns the first column that lowers the cost; -1 if there is none.
func (s *simplex) enteringColumn(reduced []*big.Int) int {
	for j := range s.columns {
		if !s.excluded[j] && s.rowOf[j] < 0 && reduced[j].Sign() < 0 {
			return j
		}
	}
	return -1
}

// leavingRow returns the row whose bound is reached first as the entering column grows; -1 if there is none. Among several
// such rows it returns the one whose basis column has the lowest number.
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

// pivot replaces the basis column of a row by another column, and updates the reduced costs.
func (s *simplex) pivot(row, column int, reduced []*big.Int) {
	pivotRow := s.rows[row]
	for i, r := range s.rows {
		if i != row {
			s.eliminate(r, pivotRow, column)
		}
	}
	s.eliminate(reduced, pivotRow, column)
	s.denominator = new(big.Int).Set(pivotRow[column])
	s.rowOf[s.basis[row]] = -1
	s.basis[row], s.rowOf[column] = column, row
}

// eliminate makes a column's entry in a row 0 by subtracting a multiple of the pivot row. The division is exact.
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

// isTight reports whether a row's bound is reached in every solution that meets all goals so far. It reports false if this
// does not follow from the excluded columns.
func (s *simplex) isTight(row int) bool { return s.excluded[s.slack[row]] }
