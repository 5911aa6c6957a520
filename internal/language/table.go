package language

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Cell is a value in a table.
type Cell struct {
	Text string
	// Number is set if IsNumber is true; Text is then its decimal form.
	Number   float64 `json:"-"`
	IsNumber bool    `json:",omitempty"`
}

// Table is the result of a show statement.
type Table struct {
	Columns []string
	Rows    [][]Cell
}

// Answer is the result of a statement.
type Answer struct {
	// Version is the configuration version after the statement.
	Version uint64
	// Message describes the change that was applied, or that explain would
	// apply.
	Message string `json:",omitempty"`
	Table   *Table `json:",omitempty"`
	// Behind lists the daemons on which the version of a wait has not taken
	// effect.
	Behind []string `json:",omitempty"`
	// InForce is the result of a wait: the version has taken effect on all
	// daemons.
	InForce bool `json:",omitempty"`
	// KeyDigest is the digest of the secret of the key that was granted.
	KeyDigest string `json:",omitempty"`
}

// Int returns a cell for an integer.
func Int[N ~int | ~int64 | ~uint64](n N) Cell {
	return Cell{Text: strconv.FormatInt(int64(n), 10), Number: float64(n), IsNumber: true}
}

// Float returns a cell for a number, formatted with three decimals.
func Float(f float64) Cell {
	return Cell{Text: strconv.FormatFloat(f, 'f', 3, 64), Number: f, IsNumber: true}
}

// Text returns a cell for a string.
func Text[S ~string](s S) Cell { return Cell{Text: string(s)} }

// YesNo returns a cell with the text "yes" or "no".
func YesNo(b bool) Cell {
	if b {
		return Text("yes")
	}
	return Text("no")
}

// Select returns the rows that match the conditions of a show statement, in its
// order and up to its limit.
func (t *Table) Select(s *Show) (*Table, error) {
	out := &Table{Columns: t.Columns, Rows: slices.Clone(t.Rows)}
	for _, cond := range s.Where {
		col, err := t.column(s, cond.Column)
		if err != nil {
			return nil, errorAt(cond.Pos, "%s", err.Error())
		}
		out.Rows = slices.DeleteFunc(out.Rows, func(row []Cell) bool { return !cond.matches(row[col]) })
	}
	if s.OrderBy != "" {
		col, err := t.column(s, s.OrderBy)
		if err != nil {
			return nil, errorAt(s.Pos, "order by: %s", err.Error())
		}
		slices.SortStableFunc(out.Rows, func(a, b []Cell) int {
			if s.Desc {
				a, b = b, a
			}
			return a[col].compare(b[col])
		})
	}
	if s.Limit > 0 && len(out.Rows) > s.Limit {
		out.Rows = out.Rows[:s.Limit]
	}
	return out, nil
}

type columnError struct {
	name  string
	known []string
}

func (e *columnError) Error() string {
	return "no column " + strconv.Quote(e.name) + "; want one of: " + strings.Join(e.known, ", ")
}

func (t *Table) column(_ *Show, name string) (int, error) {
	i := slices.IndexFunc(t.Columns, func(c string) bool { return strings.EqualFold(c, name) })
	if i < 0 {
		return 0, &columnError{name: name, known: t.Columns}
	}
	return i, nil
}

func (c *Condition) matches(cell Cell) bool {
	order := cell.compare(parseCell(c.Value))
	switch c.Op {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}

func (c Cell) compare(o Cell) int {
	if c.IsNumber && o.IsNumber {
		return cmp.Compare(c.Number, o.Number)
	}
	return cmp.Compare(c.Text, o.Text)
}

func parseCell(text string) Cell {
	f, err := strconv.ParseFloat(text, 64)
	return Cell{Text: text, Number: f, IsNumber: err == nil}
}
