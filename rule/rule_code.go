package rule

import (
	"encoding/json"
	"fmt"
)

// codedLine is a line with its value, so that reading it needs no YAML.
type codedLine struct {
	Text   string          `json:"text"`
	Reason string          `json:"reason"`
	Value  json.RawMessage `json:"value"`
}

// EncodeLines returns lines in a form that is quick to read and the same for the same lines.
func EncodeLines(lines []Line) ([]byte, error) {
	coded := make([]codedLine, len(lines))
	for i, l := range lines {
		value, err := json.Marshal(l.value)
		if err != nil {
			return nil, fmt.Errorf("rule: unable to encode %s: %w", l.ID(), err)
		}
		coded[i] = codedLine{l.Text, l.Reason, value}
	}
	text, err := json.Marshal(coded)
	if err != nil {
		return nil, fmt.Errorf("rule: unable to encode lines: %w", err)
	}
	return text, nil
}

// DecodeLines reads what EncodeLines returned.
func DecodeLines(text []byte) ([]Line, error) {
	var coded []codedLine
	if err := json.Unmarshal(text, &coded); err != nil {
		return nil, fmt.Errorf("rule: unable to decode lines: %w", err)
	}
	lines := make([]Line, len(coded))
	for i, c := range coded {
		value := newValue(firstKey(c.Text))
		if value == nil {
			return nil, fmt.Errorf("rule: unknown kind of rule in %q", c.Text)
		}
		if err := json.Unmarshal(c.Value, value); err != nil {
			return nil, fmt.Errorf("rule: unable to decode %q: %w", c.Text, err)
		}
		lines[i] = Line{Kind: firstKey(c.Text), Name: nameOf(value), Text: c.Text, Reason: c.Reason, value: value}
	}
	return lines, nil
}
