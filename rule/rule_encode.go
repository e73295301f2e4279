package rule

import (
	"encoding/json"
	"fmt"
)

// encodedLine is the stored form of a line. It contains the rule as JSON, so that decoding needs no YAML parser, which
// takes tens of microseconds for each line.
type encodedLine struct {
	Text   string          `json:"text"`
	Reason string          `json:"reason"`
	Value  json.RawMessage `json:"value"`
}

// EncodeLines encodes lines in a form that is fast to decode. The same lines always have the same encoding.
func EncodeLines(lines []Line) ([]byte, error) {
	encoded := make([]encodedLine, len(lines))
	for i, l := range lines {
		value, err := json.Marshal(l.value)
		if err != nil {
			return nil, fmt.Errorf("rule: unable to encode %s: %w", l.ID(), err)
		}
		encoded[i] = encodedLine{l.Text, l.Reason, value}
	}
	text, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("rule: unable to encode lines: %w", err)
	}
	return text, nil
}

// DecodeLines decodes the result of EncodeLines. The lines have no numbers.
func DecodeLines(text []byte) ([]Line, error) {
	var encoded []encodedLine
	if err := json.Unmarshal(text, &encoded); err != nil {
		return nil, fmt.Errorf("rule: unable to decode lines: %w", err)
	}
	lines := make([]Line, len(encoded))
	for i, e := range encoded {
		value := newValue(kindFromMapping(e.Text))
		if value == nil {
			return nil, fmt.Errorf("rule: unknown kind of rule in %q", e.Text)
		}
		if err := json.Unmarshal(e.Value, value); err != nil {
			return nil, fmt.Errorf("rule: unable to decode %q: %w", e.Text, err)
		}
		lines[i] = Line{Kind: kindFromMapping(e.Text), Name: nameFromValue(value), Text: e.Text, Reason: e.Reason, value: value}
	}
	return lines, nil
}
