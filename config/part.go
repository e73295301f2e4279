package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"

	"teaselgate/rule"
)

const (
	maxPartBytes         = 768 << 10 // before compression; a part stays below the platform's one megabyte
	maxDecompressedBytes = 16 << 20  // after decompression
	maxParts             = 4096
)

// StoredPart is a piece of the rules as stored, named by its digest and the change that wrote it.
type StoredPart struct {
	Data []byte `json:"data"` // compressed lines
}

// encodedPart is a piece of the rules that a step adds.
type encodedPart struct {
	name string
	text []byte // encoded lines
}

// bucketIndex returns the part that holds a rule, by the FNV-1a hash of its kind and name.
func bucketIndex(l rule.Line, parts int) int {
	const offset, prime = uint32(2166136261), uint32(16777619)
	h := offset
	for _, text := range [...]string{string(l.Kind), " ", l.Name} {
		for i := range len(text) {
			h = (h ^ uint32(text[i])) * prime
		}
	}
	return int(h & uint32(parts-1))
}

func splitIntoBuckets(lines []rule.Line, parts int) [][]rule.Line {
	return splitIntoSelected(lines, parts, nil)
}

// splitIntoSelected returns the lines of the wanted parts; nil wants all.
func splitIntoSelected(lines []rule.Line, parts int, wanted map[int]bool) [][]rule.Line {
	buckets := make([][]rule.Line, parts)
	for _, l := range lines {
		if b := bucketIndex(l, parts); wanted == nil || wanted[b] {
			buckets[b] = append(buckets[b], l)
		}
	}
	return buckets
}

// partName names a part after its content and its writer, so that nobody but its writer creates it
// and a retired part never comes back.
func partName(text []byte, writer string) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]) + "-" + writer
}

// samePartContents tells whether two lists name the same contents, whoever wrote the parts.
func samePartContents(a, b []string) bool {
	return slices.EqualFunc(a, b, func(x, y string) bool { return partDigest(x) == partDigest(y) })
}

func partDigest(name string) string {
	digest, _, _ := strings.Cut(name, "-")
	return digest
}

// repartition encodes the parts that the differences touch; parts grow in number when one is too large.
func (r *Revision) repartition(set *rule.Set, differences []rule.Difference, writer string) ([]string, []encodedPart, error) {
	count := max(len(r.head.Parts), 1)
	touched := make(map[int]bool)
	for _, d := range differences {
		touched[bucketIndex(d.Line(), count)] = true
	}
	if len(r.head.Parts) == 0 {
		touched = nil
	}
	for ; count <= maxParts; count *= 2 {
		buckets := splitIntoSelected(set.Lines(), count, touched)
		names, parts, fits, err := encodeBuckets(buckets, r.head.Parts, touched, writer)
		if err != nil {
			return nil, nil, err
		}
		if fits {
			return names, parts, nil
		}
		touched = nil
	}
	return nil, nil, invalid.New("config: the rules need more than %d parts", maxParts)
}

func encodeBuckets(buckets [][]rule.Line, old []string, touched map[int]bool, writer string) ([]string, []encodedPart, bool, error) {
	names := make([]string, len(buckets))
	var parts []encodedPart
	for i, lines := range buckets {
		if touched != nil && !touched[i] {
			names[i] = old[i]
			continue
		}
		text, err := rule.EncodeLines(lines)
		if err != nil {
			return nil, nil, false, err
		}
		if len(text) > maxPartBytes {
			return nil, nil, false, nil
		}
		names[i] = partName(text, writer)
		parts = append(parts, encodedPart{names[i], text})
	}
	return names, parts, true, nil
}

// compressPart returns a part as it is stored.
func compressPart(text []byte) (StoredPart, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(text); err != nil {
		return StoredPart{}, fmt.Errorf("config: unable to compress a part: %w", err)
	}
	if err := w.Close(); err != nil {
		return StoredPart{}, fmt.Errorf("config: unable to compress a part: %w", err)
	}
	return StoredPart{Data: out.Bytes()}, nil
}

// verifiedText checks a stored part against its name and decompresses it.
func (p StoredPart) verifiedText(name string) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(p.Data))
	if err != nil {
		return nil, invalid.Wrap(err, "config: unable to read part %s", name)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
	if err != nil {
		return nil, invalid.Wrap(err, "config: unable to read part %s", name)
	}
	if sum := sha256.Sum256(text); hex.EncodeToString(sum[:]) != partDigest(name) {
		return nil, invalid.New("config: part %s has another digest", name)
	}
	return text, nil
}

// decodeLines reads a stored part of the rules.
func (p StoredPart) decodeLines(name string) ([]rule.Line, error) {
	text, err := p.verifiedText(name)
	if err != nil {
		return nil, err
	}
	lines, err := rule.DecodeLines(text)
	if err != nil {
		return nil, invalid.Wrap(err, "config: unable to read part %s", name)
	}
	return lines, nil
}

// encodePart returns a part of the revision as it is stored.
func (r *Revision) encodePart(name string) (StoredPart, error) {
	i := slices.Index(r.head.Parts, name)
	if i < 0 {
		return StoredPart{}, stale.New("config: part %s is not of revision %d", name, r.Number)
	}
	text, err := rule.EncodeLines(splitIntoSelected(r.Rules.Lines(), len(r.head.Parts), map[int]bool{i: true})[i])
	if err != nil {
		return StoredPart{}, err
	}
	return compressPart(text)
}
