package language

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Cell is one value of a table.
type Cell struct {
	Text string
	// Number is set when IsNumber is true; Text is then its decimal form.
	Number   float64 `json:"-"`
	IsNumber bool    `json:",omitempty"`
}

// Table is the answer to a show.
type Table struct {
	Columns []string
	Rows    [][]Cell
}

// Answer is the answer to a statement.
type Answer struct {
	// Version is the configuration version after the statement.
	Version uint64
	// Message says what was done, or would be.
	Message string `json:",omitempty"`
	Table   *Table `json:",omitempty"`
	// Behind names the daemons where the version of a wait is not in force.
	Behind []string `json:",omitempty"`
	// InForce answers a wait.
	InForce bool `json:",omitempty"`
	// KeyDigest is the digest of the secret of a granted key.
	KeyDigest string `json:",omitempty"`
}

// Int returns a number cell.
func Int[N ~int | ~int64 | ~uint64](n N) Cell {
	return Cell{Text: strconv.FormatInt(int64(n), 10), Number: float64(n), IsNumber: true}
}

// Float returns a number cell with three decimals.
func Float(f float64) Cell {
	return Cell{Text: strconv.FormatFloat(f, 'f', 3, 64), Number: f, IsNumber: true}
}

// Text returns a text cell.
func Text[S ~string](s S) Cell { return Cell{Text: string(s)} }

// YesNo returns a cell that is yes or no.
func YesNo(b bool) Cell {
	if b {
		return Text("yes")
	}
	return Text("no")
}

// Select returns the rows that a show asks for.
func (t *Table) Select(s *Show) (*Table, error) {
	out := &Table{Columns: t.Columns, Rows: slices.Clone(t.Rows)}
	for _, cond := range s.Where {
		col, err := t.column(s, cond.Column)
		if err != nil {
			return nil, errorAt(cond.Pos, "%s", err.Error())
		}
		out.Rows = slices.DeleteFunc(out.Rows, func(row []Cell) bool { return !cond.holds(row[col]) })
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
	name string
	want []string
}

func (e *columnError) Error() string {
	return "no column " + strconv.Quote(e.name) + "; want one of: " + strings.Join(e.want, ", ")
}

func (t *Table) column(_ *Show, name string) (int, error) {
	i := slices.IndexFunc(t.Columns, func(c string) bool { return strings.EqualFold(c, name) })
	if i < 0 {
		return 0, &columnError{name: name, want: t.Columns}
	}
	return i, nil
}

func (c *Condition) holds(cell Cell) bool {
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
