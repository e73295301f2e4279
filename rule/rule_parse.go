package rule

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// linePrefix is the start of each rule in a file.
const linePrefix = "- "

// reasonPattern matches a comment of the form "who: why"; a date may follow who.
var reasonPattern = regexp.MustCompile(`^[^:\s][^:]*: *\S`)

// Problem is an error in a rules file, with its position.
type Problem struct {
	File   string
	Line   int // from 1
	Column int // from 1
	Text   string
}

// Error returns the problem in the form file:line:column: text.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
}

// sortProblems sorts problems by position, then by text.
func sortProblems(problems []Problem) {
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Text, b.Text))
	})
}

// Parse parses a rules file and returns its rules and all problems found, sorted by position.
func Parse(file string, text []byte) (*Set, []Problem) {
	lines, problems := readLines(text)
	set, buildProblems := Build(lines)
	problems = append(problems, buildProblems...)
	for i := range problems {
		problems[i].File = file
	}
	sortProblems(problems)
	return set, problems
}

// ParseLine parses one rule from its text and comment, without checking its values and references.
func ParseLine(text, reason string) (Line, error) {
	line, problems := readLine(0, linePrefix+text+"   # "+reason)
	if len(problems) > 0 {
		return Line{}, fmt.Errorf("rule: unable to parse %q: %s", text, problems[0].Text)
	}
	return line, nil
}

// readLines parses the lines of a file on all processors, since YAML takes tens of microseconds for each line.
func readLines(text []byte) ([]Line, []Problem) {
	rawLines := bytes.Split(text, []byte("\n"))
	chunkSize := max(len(rawLines)/runtime.GOMAXPROCS(0), 1)
	var mu sync.Mutex
	var readers sync.WaitGroup
	var lines []Line
	var problems []Problem
	for start := 0; start < len(rawLines); start += chunkSize {
		end := min(start+chunkSize, len(rawLines))
		readers.Go(func() {
			chunkLines, chunkProblems := readChunk(rawLines[start:end], start+1)
			mu.Lock()
			defer mu.Unlock()
			lines = append(lines, chunkLines...)
			problems = append(problems, chunkProblems...)
		})
	}
	readers.Wait()
	return lines, problems
}

// readChunk parses consecutive lines, the first of which has the given number.
func readChunk(rawLines [][]byte, firstNumber int) (lines []Line, problems []Problem) {
	for i, raw := range rawLines {
		text := strings.TrimRight(string(raw), " \r\t")
		if isBlankOrComment(text) {
			continue
		}
		line, lineProblems := readLine(firstNumber+i, text)
		problems = append(problems, lineProblems...)
		if line.value != nil {
			lines = append(lines, line)
		}
	}
	return lines, problems
}

// isBlankOrComment reports whether a line holds no rule: it is blank, a comment or the YAML document marker.
func isBlankOrComment(text string) bool {
	trimmed := strings.TrimSpace(text)
	return trimmed == "" || strings.HasPrefix(trimmed, "#") || trimmed == "---"
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8, or -1.
func invalidUTF8(text string) int {
	for offset, character := range text {
		if character != utf8.RuneError {
			continue
		}
		if _, size := utf8.DecodeRuneInString(text[offset:]); size == 1 {
			return offset
		}
	}
	return -1
}

// readLine parses one rule. If its mapping can't be decoded, the returned line has no value.
func readLine(number int, text string) (Line, []Problem) {
	if offset := invalidUTF8(text); offset >= 0 {
		return Line{}, []Problem{{Line: number, Column: offset + 1, Text: "the line is not valid UTF-8"}}
	}
	if !strings.HasPrefix(text, linePrefix+"{") {
		return Line{}, []Problem{{
			Line: number, Column: 1, Text: `a rule is one line of the form "- {kind: name, ...}   # who: why"`,
		}}
	}
	var problems []Problem
	mapping, reason, column := splitComment(text)
	switch {
	case reason == "":
		problems = append(problems, Problem{Line: number, Column: column, Text: `the rule has no comment; add "# who: why"`})
	case !reasonPattern.MatchString(reason):
		problems = append(problems, Problem{Line: number, Column: column, Text: `the comment is not of the form "# who: why"`})
	}
	line := Line{Text: mapping, Reason: reason, Number: number}
	decodeProblems := line.decode()
	return line, append(problems, decodeProblems...)
}

// splitComment separates the flow mapping from the comment after it; column is the position of the comment, or of the
// end of the line if there is none.
func splitComment(line string) (mapping, comment string, column int) {
	for _, t := range lexer.Tokenize(line) {
		if t.Type == token.CommentType {
			start := t.Position.Offset - 1
			return strings.TrimSpace(line[len(linePrefix):start]), strings.TrimSpace(t.Value), start + 1
		}
	}
	return strings.TrimSpace(line[len(linePrefix):]), "", len(line) + 1
}

// kindFromMapping returns the kind of a rule, which is the first key of its flow mapping.
func kindFromMapping(mapping string) Kind {
	key, _, _ := strings.Cut(strings.TrimPrefix(mapping, "{"), ":")
	return Kind(strings.TrimSpace(key))
}

// decode sets the kind, the name and the value of the line from its text.
func (l *Line) decode() []Problem {
	l.Kind = kindFromMapping(l.Text)
	value := newValue(l.Kind)
	if value == nil {
		text := fmt.Sprintf("unknown kind of rule %q; allowed are %s", l.Kind, kindList())
		return []Problem{{Line: l.Number, Column: len("- {") + 1, Text: text}}
	}
	if err := yaml.UnmarshalWithOptions([]byte(l.Text), value, yaml.Strict()); err != nil {
		return l.problemsFromDecodeError(value, err)
	}
	l.Name = nameFromValue(value)
	if l.Name == "" {
		return []Problem{{Line: l.Number, Column: len("- {") + 1, Text: string(l.Kind) + ": missing"}}
	}
	l.value = value
	return nil
}

// kindList returns the names of all kinds, separated by commas.
func kindList() string {
	names := make([]string, len(kindOrder))
	for i, k := range kindOrder {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}
