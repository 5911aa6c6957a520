// Package language parses the query and command language of the operators and
// evaluates its statements.
package language

import (
	"errors"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// Statement is one parsed statement. Exactly one of the pointers is set.
type Statement struct {
	Show    *Show   `parser:"  'show' @@"`
	Explain *Change `parser:"| 'explain' @@"`
	Wait    *Wait   `parser:"| 'wait' @@"`
	Change  *Change `parser:"| @@"`
}

// Show selects rows of a table.
type Show struct {
	Pos     lexer.Position
	Table   string       `parser:"@Word"`
	Where   []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	OrderBy string       `parser:"( 'order' 'by' @Word"`
	Desc    bool         `parser:"  ( @'desc' | 'asc' )? )?"`
	Limit   int          `parser:"( 'limit' @Number )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Pos    lexer.Position
	Column string `parser:"@Word"`
	Op     string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value  string `parser:"@( Word | Number | String )"`
}

// Wait asks whether a configuration version has taken effect on all daemons.
type Wait struct {
	Version uint64 `parser:"'version' @Number"`
}

// Change is a statement that changes the configuration.
type Change struct {
	Pos        lexer.Position
	Verb       string      `parser:"@( 'create' | 'set' | 'drop' | 'grant' | 'withdraw' | 'drain' | 'remove' | 'evacuate' | 'end' )"`
	Noun       string      `parser:"@Word"`
	Name       string      `parser:"@( Word | String )"`
	Properties []*Property `parser:"@@*"`
}

// Property is a key with its value in a change.
type Property struct {
	Pos   lexer.Position
	Key   string `parser:"@Word"`
	Value string `parser:"@( Word | Number | String )"`
}

var (
	statementLexer = lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"[^"\n]*"`},
		{Name: "Number", Pattern: `\d+\b`},
		{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_\-./:@]*`},
		{Name: "Op", Pattern: `!=|<=|>=|=|<|>`},
		{Name: "space", Pattern: `\s+`},
	})
	statementParser = participle.MustBuild[Statement](
		participle.Lexer(statementLexer),
		participle.Unquote("String"),
		participle.UseLookahead(2),
	)
)

// Parse parses one statement. Syntax errors give the column and the expected
// token.
func Parse(text string) (*Statement, error) {
	st, err := statementParser.ParseString("", text)
	if err == nil {
		return st, nil
	}
	var perr participle.Error
	if errors.As(err, &perr) {
		return nil, errorAt(perr.Position(), "%s", perr.Message())
	}
	return nil, rollout.NewError(rollout.KindInvalidInput, "%v", err)
}

func errorAt(pos lexer.Position, format string, args ...any) *rollout.Error {
	e := rollout.NewError(rollout.KindInvalidInput, format, args...)
	return rollout.NewError(rollout.KindInvalidInput, "column %d: %s", pos.Column, e.Message)
}
