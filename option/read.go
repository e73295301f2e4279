package option

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"teaselgate/rule"
)

// Problems are all faults of a settings file, in the order of the file.
type Problems []rule.Problem

// Error implements error with one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Read loads and checks a settings file with the files that it names. The error is of type Problems,
// unless the file itself can't be read.
func Read(file string) (*Options, Secrets, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Secrets{}, fmt.Errorf("option: unable to read the settings: %w", err)
	}
	r := newReader(file)
	r.parse(text)
	r.checkFields()
	r.checkCertificates()
	secrets := r.readSecrets()
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b rule.Problem) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, Secrets{}, r.problems
	}
	return r.options, secrets, nil
}

// position is the place of a value in the file.
type position struct{ line, column int }

// reader collects the settings of one file and its problems.
type reader struct {
	file      string
	options   *Options
	positions map[string]position // of each setting given
	invalid   map[string]bool     // settings with a problem of their own
	problems  Problems
}

func newReader(file string) *reader {
	return &reader{file: file, options: Default(), positions: make(map[string]position), invalid: make(map[string]bool)}
}

func (r *reader) addProblem(at position, format string, args ...any) {
	r.problems = append(r.problems, rule.Problem{File: r.file, Line: at.line, Column: at.column, Text: fmt.Sprintf(format, args...)})
}

// addSettingProblem reports a problem of one setting at its value; a setting that was not given has no place but the start.
func (r *reader) addSettingProblem(name, format string, args ...any) {
	at, ok := r.positions[name]
	if !ok {
		at = position{1, 1}
	}
	r.invalid[name] = true
	r.addProblem(at, name+": "+format, args...)
}

func (r *reader) parse(text []byte) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		at, message := splitYAMLError(err)
		r.addProblem(at, "%s", message)
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			r.readMapping("", doc.Body)
		}
	}
}

// readMapping reads the mapping below a prefix.
func (r *reader) readMapping(prefix string, node ast.Node) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		r.addProblem(nodePosition(node), "must be a mapping with the keys %s", childKeys(prefix))
		return
	}
	for entries := mapping.MapRange(); entries.Next(); {
		name := prefix + entries.Key().String()
		field, known := findField(name)
		switch {
		case known:
			r.decodeSetting(field, entries.Value())
		case isGroup(name):
			r.readMapping(name+".", entries.Value())
		default:
			r.addProblem(nodePosition(entries.Key()), "unknown setting %q; allowed are %s", name, childKeys(prefix))
		}
	}
}

func (r *reader) decodeSetting(field Field, node ast.Node) {
	r.positions[field.Name] = nodePosition(node)
	if err := yaml.NodeToValue(node, field.pointer(r.options), yaml.Strict()); err != nil {
		_, message := splitYAMLError(err)
		r.addSettingProblem(field.Name, "%s; it %s", message, field.allowedValues())
	}
}

func splitYAMLError(err error) (position, string) {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		at := located.GetToken().Position
		return position{at.Line, at.Column}, located.GetMessage()
	}
	return position{1, 1}, err.Error()
}

func nodePosition(node ast.Node) position {
	at := node.GetToken().Position
	return position{at.Line, at.Column}
}

// checkFields reports settings that are missing or have a bad value, and resolves paths.
func (r *reader) checkFields() {
	for _, f := range Fields {
		_, given := r.positions[f.Name]
		if !given {
			if f.Required && !r.mayOmit(f) {
				r.addSettingProblem(f.Name, "missing; it %s", f.allowedValues())
			}
			continue
		}
		if r.invalid[f.Name] {
			continue
		}
		if allowed := f.check(f.pointer(r.options)); allowed != "" {
			r.addSettingProblem(f.Name, "%s", allowed)
			continue
		}
		if f.isPath {
			r.resolvePath(f)
		}
	}
}

// mayOmit tells whether a setting is not needed with the others: where the platform gives no secrets to its instances,
// there are no tokens.
func (r *reader) mayOmit(f Field) bool {
	return r.options.Source == SourceStore && strings.HasSuffix(f.Name, "-token")
}

// resolvePath makes a path relative to the settings file's directory absolute.
func (r *reader) resolvePath(f Field) {
	path := f.pointer(r.options).(*string)
	if !filepath.IsAbs(*path) {
		*path = filepath.Join(filepath.Dir(r.file), *path)
	}
}
