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
	// keyPattern is what NewKey makes; it is dropped whosever key it is.
	keyPattern      = regexp.MustCompile(keyPrefix + `[A-Za-z0-9_-]{43}`)
	lowerKeyPattern = regexp.MustCompile(keyPrefix + `[a-z0-9_-]{43}`)
	// encodedKeyPrefixes are the parts of the base64 forms of keyPrefix that do not depend on what stands around.
	encodedKeyPrefixes = base64Forms(keyPrefix)
	// base64Pattern is a run of base64 text.
	base64Pattern = regexp.MustCompile(`[A-Za-z0-9+/_-]{60,}`)
	// percentPattern is one percent-encoded byte.
	percentPattern = regexp.MustCompile(`%[0-9a-fA-F]{2}`)
)

// base64Forms returns what of a text's base64 form is the same wherever in the encoded bytes it
// stands: for each of three positions, in both alphabets.
func base64Forms(text string) []string {
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
	return percentPattern.ReplaceAllStringFunc(strings.ReplaceAll(text, "+", " "), func(code string) string {
		b, _ := hex.DecodeString(code[1:])
		return string(b)
	})
}

// containsSecret tells whether a text contains a secret: as it is, percent-encoded or in base64.
func (c *Credentials) containsSecret(text string) bool {
	if len(text) < minSecretBytes {
		return false
	}
	if c.containsPlain(text) || c.containsBase64(text) {
		return true
	}
	if !strings.Contains(text, "%") {
		return false
	}
	decoded := decodePercent(text)
	return c.containsPlain(decoded) || c.containsBase64(decoded)
}

func (c *Credentials) containsPlain(text string) bool {
	if strings.Contains(text, keyPrefix) && keyPattern.MatchString(text) {
		return true
	}
	return slices.ContainsFunc(c.secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(text, secret)
	})
}

// containsBase64 tells whether a text contains the base64 form of a secret, or of any key.
func (c *Credentials) containsBase64(text string) bool {
	contained := func(form string) bool { return strings.Contains(text, form) }
	if slices.ContainsFunc(c.base64Forms, contained) {
		return true
	}
	if !slices.ContainsFunc(encodedKeyPrefixes, contained) {
		return false
	}
	return slices.ContainsFunc(base64Pattern.FindAllString(text, -1), decodesToKey)
}

// decodesToKey decodes base64 text from each of its first digits on.
func decodesToKey(text string) bool {
	const digitsPerGroup = 4
	text = strings.NewReplacer("-", "+", "_", "/").Replace(text)
	for start := range digitsPerGroup {
		group := text[start:]
		if len(group)%digitsPerGroup == 1 {
			group = group[:len(group)-1]
		}
		raw, err := base64.RawStdEncoding.DecodeString(group)
		if err == nil && keyPattern.Match(raw) {
			return true
		}
	}
	return false
}

// nameContainsSecret tells whether a header's name, whose case changes on the way, holds a secret.
func (c *Credentials) nameContainsSecret(name string) bool {
	if len(name) < minSecretBytes {
		return false
	}
	if c.containsSecret(name) {
		return true
	}
	name = strings.ToLower(decodePercent(name))
	if strings.Contains(name, keyPrefix) && lowerKeyPattern.MatchString(name) {
		return true
	}
	return slices.ContainsFunc(c.secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(name, strings.ToLower(secret))
	})
}
