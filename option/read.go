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

// Problems lists all problems of a settings file, ordered by their positions.
type Problems []rule.Problem

// Error implements error. It returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Read loads and checks a settings file and the files that it names. The error is of type Problems,
// unless the settings file itself can't be read.
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

// position is a line and column of the settings file, both counted from 1.
type position struct{ line, column int }

// reader collects the settings of one file and its problems.
type reader struct {
	file      string
	options   *Options
	positions map[string]position // positions of the settings in the file, by name
	invalid   map[string]bool     // names of the settings with a problem
	problems  Problems
}

func newReader(file string) *reader {
	return &reader{file: file, options: Default(), positions: make(map[string]position), invalid: make(map[string]bool)}
}

func (r *reader) addProblem(p position, format string, args ...any) {
	r.problems = append(r.problems, rule.Problem{File: r.file, Line: p.line, Column: p.column, Text: fmt.Sprintf(format, args...)})
}

// addSettingProblem records a problem of a setting at the position of its value, or at the start of the file if the
// file does not contain the setting.
func (r *reader) addSettingProblem(name, format string, args ...any) {
	p, ok := r.positions[name]
	if !ok {
		p = position{1, 1}
	}
	r.invalid[name] = true
	r.addProblem(p, name+": "+format, args...)
}

// parse reads the YAML text of the settings file.
func (r *reader) parse(text []byte) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		p, message := splitYAMLError(err)
		r.addProblem(p, "%s", message)
		return
	}
	for _, doc := range file.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			r.readMapping("", doc.Body)
		}
	}
}

// readMapping reads the settings in a mapping whose keys have the given prefix.
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

// splitYAMLError returns the position and the message of an error of the YAML library.
func splitYAMLError(err error) (position, string) {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		p := yamlErr.GetToken().Position
		return position{p.Line, p.Column}, yamlErr.GetMessage()
	}
	return position{1, 1}, err.Error()
}

func nodePosition(node ast.Node) position {
	p := node.GetToken().Position
	return position{p.Line, p.Column}
}

// checkFields records a problem for each setting that is missing or invalid, and resolves relative paths.
func (r *reader) checkFields() {
	for _, f := range Fields {
		_, present := r.positions[f.Name]
		if !present {
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

// mayOmit reports whether a required setting may be left out: the tokens may with SourceStore, since such a platform
// gives its instances no secrets.
func (r *reader) mayOmit(f Field) bool {
	return r.options.Source == SourceStore && strings.HasSuffix(f.Name, "-token")
}

// resolvePath resolves a relative path against the directory of the settings file.
func (r *reader) resolvePath(f Field) {
	path := f.pointer(r.options).(*string)
	if !filepath.IsAbs(*path) {
		*path = filepath.Join(filepath.Dir(r.file), *path)
	}
}
