package engine

import (
	"fmt"
	"hash/fnv"
	"io"
)

// Lengths of the shortest and longest prefix that engines cache. Each length is twice the one before.
const (
	firstPrefixBytes = 512
	lastPrefixBytes  = 64 << 10
)

// PrefixHashes returns the hashes of a prompt's prefixes as they appear in engines' cache events:
// 32-bit FNV-1a over the first 512 bytes, 1,024 bytes and so on, shortest first.
func PrefixHashes(prompt string) []string {
	var out []string
	h := fnv.New32a()
	done := 0
	for n := firstPrefixBytes; n <= min(len(prompt), lastPrefixBytes); n *= 2 {
		_, _ = io.WriteString(h, prompt[done:n])
		done = n
		out = append(out, fmt.Sprintf("%08x", h.Sum32()))
	}
	return out
}

// PromptHash returns a hash of a whole prompt. It differs in form from those of PrefixHashes.
func PromptHash(prompt string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, prompt) // never fails
	return fmt.Sprintf("%016x", h.Sum64())
}

// PrefixTokens returns the estimated number of tokens in the nth prefix of a prompt, counted from 0.
func PrefixTokens(n int) int { return firstPrefixBytes << n / bytesPerToken }
