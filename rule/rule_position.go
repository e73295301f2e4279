package rule

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// kindOrder lists all kinds in the order in which errors name them.
var kindOrder = []Kind{
	KindFleet, KindOperator, KindChange, KindPool, KindModel, KindServer, KindRoute, KindAccount, KindKey,
	KindEvacuate,
}

// problemsFromDecodeError returns a problem for every unknown and every repeated field, or else for the YAML error.
func (l *Line) problemsFromDecodeError(value any, err error) []Problem {
	known := yamlFieldNames(value)
	seen := make(map[string]bool)
	var problems []Problem
	for _, f := range l.fields() {
		text := ""
		switch {
		case !known[f.name]:
			text = fmt.Sprintf("unknown field %q", f.name)
		case seen[f.name]:
			text = fmt.Sprintf("duplicate field %q", f.name)
		}
		if text != "" {
			problems = append(problems, Problem{Line: l.Number, Column: f.column, Text: text})
		}
		seen[f.name] = true
	}
	if len(problems) > 0 {
		return problems
	}
	column, text := yamlErrorPosition(err)
	return []Problem{{Line: l.Number, Column: len(linePrefix) + column, Text: text}}
}

// yamlErrorPosition returns the column and the message of a YAML error; the column is 1 if the error has no position.
func yamlErrorPosition(err error) (column int, text string) {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return located.GetToken().Position.Column, located.GetMessage()
	}
	return 1, err.Error()
}

// field is one key of a flow mapping with its column in the file.
type field struct {
	name   string
	column int
}

// fields returns the keys of the line's mapping, or nil if the mapping can't be parsed.
func (l *Line) fields() []field {
	file, err := parser.ParseBytes([]byte(l.Text), 0, parser.AllowDuplicateMapKey())
	if err != nil || len(file.Docs) == 0 {
		return nil
	}
	mapping, ok := file.Docs[0].Body.(ast.MapNode)
	if !ok {
		return nil
	}
	var out []field
	for entries := mapping.MapRange(); entries.Next(); {
		t := entries.Key().GetToken()
		out = append(out, field{t.Value, len(linePrefix) + t.Position.Column})
	}
	return out
}

// fieldColumn returns the column of a field in the file, or 1 if the line does not have the field.
func (l *Line) fieldColumn(name string) int {
	for _, f := range l.fields() {
		if f.name == name {
			return f.column
		}
	}
	return 1
}

// yamlFieldNames returns the YAML names of the fields of the struct that value points to.
func yamlFieldNames(value any) map[string]bool {
	names := make(map[string]bool)
	t := reflect.TypeOf(value).Elem()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name != "-" {
			names[name] = true
		}
	}
	return names
}
