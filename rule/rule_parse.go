package rule

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// Problem is one fault of a rules file, with its place.
type Problem struct {
	File   string
	Line   int
	Column int
	Text   string
}

// Error implements error as file:line:column: text.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// Parse reads a rules file and returns its rules with every problem found.
func Parse(file string, text []byte) (*Set, []Problem) {
	p := &parser{file: file, set: newSet(), names: make(map[string]int)}
	for number, line := range bytes.Split(text, []byte("\n")) {
		p.parseLine(number+1, strings.TrimRight(string(line), " \r\t"))
	}
	p.checkAll()
	return p.set, p.problems
}

func newSet() *Set {
	return &Set{
		changes:  make(map[Kind]Change),
		pools:    make(map[string]Pool),
		models:   make(map[string]Model),
		accounts: make(map[string]Account),
		keys:     make(map[string]Key),
	}
}

type parser struct {
	file     string
	set      *Set
	names    map[string]int // line of each rule by kind and name
	problems []Problem
}

func (p *parser) fault(line, column int, format string, args ...any) {
	p.problems = append(p.problems, Problem{p.file, line, column, fmt.Sprintf(format, args...)})
}

func (p *parser) parseLine(number int, line string) {
	trimmed := strings.TrimSpace(line)
	if trimmed == "" || strings.HasPrefix(trimmed, "#") || trimmed == "---" {
		return
	}
	if !strings.HasPrefix(line, "- {") {
		p.fault(number, 1, "a rule is one line of the form \"- {kind: name, ...}   # who asked: why\"")
		return
	}
	body, reason := splitComment(line)
	if reason == "" {
		p.fault(number, len(line)+1, "the rule has no comment; add \"# who asked: why\"")
	}
	kind, name := firstKey(body)
	p.decode(Line{Kind: kind, Name: name, Text: body, Reason: reason, Number: number})
}

// splitComment separates the flow mapping from the comment behind it.
func splitComment(line string) (body, comment string) {
	for _, t := range lexer.Tokenize(line) {
		if t.Type == token.CommentType {
			start := t.Position.Offset - 1
			return strings.TrimSpace(line[2:start]), strings.TrimSpace(t.Value)
		}
	}
	return strings.TrimSpace(line[2:]), ""
}

// firstKey returns the first key of a flow mapping and its value.
func firstKey(body string) (Kind, string) {
	inner := strings.TrimPrefix(body, "{")
	key, rest, _ := strings.Cut(inner, ":")
	end := strings.IndexAny(rest, ",}")
	if end < 0 {
		end = len(rest)
	}
	value := strings.Trim(strings.TrimSpace(rest[:end]), `"'`)
	return Kind(strings.TrimSpace(key)), value
}

func (p *parser) decode(line Line) {
	s := p.set
	switch line.Kind {
	case KindFleet:
		decodeInto(p, line, func(v Fleet) { s.fleet = v })
	case KindChange:
		decodeInto(p, line, func(v Change) { s.changes[v.Change] = v })
	case KindPool:
		decodeInto(p, line, func(v Pool) { s.pools[v.Pool] = v })
	case KindModel:
		decodeInto(p, line, func(v Model) { s.models[v.Model] = v })
	case KindServer:
		decodeInto(p, line, func(v Server) { s.servers = append(s.servers, v) })
	case KindRoute:
		decodeInto(p, line, func(v Route) { s.routes = append(s.routes, v) })
	case KindAccount:
		decodeInto(p, line, func(v Account) { s.accounts[v.Account] = v })
	case KindKey:
		decodeInto(p, line, func(v Key) { s.keys[v.Key] = v })
	default:
		p.fault(line.Number, len("- {")+1, "unknown kind of rule %q; allowed are fleet, change, pool, model, server, route, account, key", line.Kind)
	}
}

func decodeInto[T any](p *parser, line Line, store func(T)) {
	var v T
	if err := yaml.UnmarshalWithOptions([]byte(line.Text), &v, yaml.Strict()); err != nil {
		column, text := yamlProblem(err)
		p.fault(line.Number, len("- ")+column, "%s", text)
		return
	}
	id := string(line.Kind) + " " + line.Name
	if earlier, ok := p.names[id]; ok {
		p.fault(line.Number, 1, "%s is already given in line %d", id, earlier)
		return
	}
	p.names[id] = line.Number
	p.set.lines = append(p.set.lines, line)
	store(v)
}

func yamlProblem(err error) (column int, text string) {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return located.GetToken().Position.Column, located.GetMessage()
	}
	return 1, err.Error()
}
