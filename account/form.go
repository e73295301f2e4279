package account

import (
	"encoding/base64"
	"encoding/hex"
	"regexp"
	"slices"
	"strings"
)

// minSecretBytes is the length from which a shown secret is looked for in all values.
const minSecretBytes = 8

var (
	// keyForm is what NewKey makes; it is dropped whosever key it is.
	keyForm      = regexp.MustCompile(keyPrefix + `[A-Za-z0-9_-]{43}`)
	lowerKeyForm = regexp.MustCompile(keyPrefix + `[a-z0-9_-]{43}`)
	// encodedStarts are the parts of the base64 forms of keyPrefix that do not depend on what stands around.
	encodedStarts = encodedForms(keyPrefix)
	// encodedText is a run of base64 text.
	encodedText = regexp.MustCompile(`[A-Za-z0-9+/_-]{60,}`)
	// percentForm is one percent-encoded byte.
	percentForm = regexp.MustCompile(`%[0-9a-fA-F]{2}`)
)

// encodedForms returns what of a text's base64 form is the same wherever in the encoded bytes it
// stands: for each of three positions, in both alphabets.
func encodedForms(text string) []string {
	const bitsPerDigit = 6
	var out []string
	for pad, skip := range []int{0, 2, 3} {
		raw := append(make([]byte, pad, pad+len(text)), text...)
		digits := len(raw) * 8 / bitsPerDigit
		for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			form := encoding.EncodeToString(raw)[skip:digits]
			if !slices.Contains(out, form) {
				out = append(out, form)
			}
		}
	}
	return out
}

// decodePercent decodes what can be decoded; net/url gives up at the first malformed part.
func decodePercent(text string) string {
	if !strings.ContainsAny(text, "%+") {
		return text
	}
	return percentForm.ReplaceAllStringFunc(strings.ReplaceAll(text, "+", " "), func(code string) string {
		b, _ := hex.DecodeString(code[1:])
		return string(b)
	})
}

// holds tells whether a text contains a secret: as it is, percent-encoded or in base64.
func (c *Credentials) holds(text string) bool {
	if len(text) < minSecretBytes {
		return false
	}
	if c.holdsPlain(text) || c.holdsEncoded(text) {
		return true
	}
	if !strings.Contains(text, "%") {
		return false
	}
	decoded := decodePercent(text)
	return c.holdsPlain(decoded) || c.holdsEncoded(decoded)
}

func (c *Credentials) holdsPlain(text string) bool {
	if strings.Contains(text, keyPrefix) && keyForm.MatchString(text) {
		return true
	}
	return slices.ContainsFunc(c.secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(text, secret)
	})
}

// holdsEncoded tells whether a text contains the base64 form of a secret, or of any key.
func (c *Credentials) holdsEncoded(text string) bool {
	contained := func(form string) bool { return strings.Contains(text, form) }
	if slices.ContainsFunc(c.encoded, contained) {
		return true
	}
	if !slices.ContainsFunc(encodedStarts, contained) {
		return false
	}
	return slices.ContainsFunc(encodedText.FindAllString(text, -1), encodesKey)
}

// encodesKey decodes base64 text from each of its first digits on.
func encodesKey(text string) bool {
	const digitsPerGroup = 4
	text = strings.NewReplacer("-", "+", "_", "/").Replace(text)
	for start := range digitsPerGroup {
		group := text[start:]
		if len(group)%digitsPerGroup == 1 {
			group = group[:len(group)-1]
		}
		raw, err := base64.RawStdEncoding.DecodeString(group)
		if err == nil && keyForm.Match(raw) {
			return true
		}
	}
	return false
}

// holdsInName tells whether a header's name, whose case changes on the way, holds a secret.
func (c *Credentials) holdsInName(name string) bool {
	if len(name) < minSecretBytes {
		return false
	}
	if c.holds(name) {
		return true
	}
	name = strings.ToLower(decodePercent(name))
	if strings.Contains(name, keyPrefix) && lowerKeyForm.MatchString(name) {
		return true
	}
	return slices.ContainsFunc(c.secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(name, strings.ToLower(secret))
	})
}
