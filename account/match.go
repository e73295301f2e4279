package account

import (
	"encoding/base64"
	"encoding/hex"
	"regexp"
	"slices"
	"strings"
)

// minSecretBytes is the minimum length of the secrets that are searched for in all parts of a request. Shorter secrets
// are not, since they would match unrelated text.
const minSecretBytes = 8

var (
	// keyPattern matches the keys that NewKey generates. Every match is removed, also if the caller did not authenticate
	// with that key.
	keyPattern = regexp.MustCompile(keyPrefix + `[A-Za-z0-9_-]{43}`)
	// lowerKeyPattern matches such a key in lower case.
	lowerKeyPattern = regexp.MustCompile(keyPrefix + `[a-z0-9_-]{43}`)
	// encodedKeyPrefixes are the base64 forms of keyPrefix.
	encodedKeyPrefixes = base64Forms(keyPrefix)
	// base64Pattern matches base64 text long enough to contain a key.
	base64Pattern = regexp.MustCompile(`[A-Za-z0-9+/_-]{60,}`)
	// percentPattern matches one percent-encoded byte.
	percentPattern = regexp.MustCompile(`%[0-9a-fA-F]{2}`)
)

// base64Forms returns the base64 digits that depend only on the text and not on the bytes before and after it, for each
// of its three possible offsets in a group of three bytes, in the standard and the URL alphabet.
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

// decodePercent decodes plus signs and valid percent encodings and keeps the rest, whereas net/url returns an error at
// the first malformed part.
func decodePercent(text string) string {
	if !strings.ContainsAny(text, "%+") {
		return text
	}
	return percentPattern.ReplaceAllStringFunc(strings.ReplaceAll(text, "+", " "), func(code string) string {
		b, _ := hex.DecodeString(code[1:])
		return string(b)
	})
}

// containsSecret reports whether a text contains a secret, or any generated key, in plain form, percent-encoded or in
// base64.
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

// containsPlain reports whether a text contains a secret, or any generated key, in plain form.
func (c *Credentials) containsPlain(text string) bool {
	if strings.Contains(text, keyPrefix) && keyPattern.MatchString(text) {
		return true
	}
	return slices.ContainsFunc(c.secrets, func(secret string) bool {
		return len(secret) >= minSecretBytes && strings.Contains(text, secret)
	})
}

// containsBase64 reports whether a text contains the base64 form of a secret, or of any generated key.
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

// decodesToKey reports whether base64 text decodes to bytes that contain a generated key. It tries each offset in a
// group of four digits, since the start of the encoded data is unknown.
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

// nameContainsSecret reports whether a header name contains a secret. It ignores case, since the case of header names
// is not preserved.
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
