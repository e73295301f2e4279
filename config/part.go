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

// Limits of parts.
const (
	maxPartBytes         = 768 << 10 // before compression; keeps a part below the platform's limit of 1 MB per object
	maxDecompressedBytes = 16 << 20  // bytes of a part's text that are read after decompression
	maxParts             = 4096      // buckets that a revision's rules may be split into
)

// StoredPart is a part in the form in which the platform stores it: the rules of one bucket, or a head. Its name is
// made of its digest and its writer.
type StoredPart struct {
	Data []byte `json:"data"` // gzip-compressed text
}

// encodedPart is a part before compression.
type encodedPart struct {
	name string
	text []byte // encoded lines or encoded head
}

// bucketIndex returns the index of the bucket that holds a rule, by the FNV-1a hash of its kind and name. The
// count of buckets is a power of two.
func bucketIndex(l rule.Line, count int) int {
	const offset, prime = uint32(2166136261), uint32(16777619)
	hash := offset
	for _, text := range [...]string{string(l.Kind), " ", l.Name} {
		for i := range len(text) {
			hash = (hash ^ uint32(text[i])) * prime
		}
	}
	return int(hash & uint32(count-1))
}

// splitIntoBuckets distributes lines over count buckets.
func splitIntoBuckets(lines []rule.Line, count int) [][]rule.Line {
	return splitIntoSelectedBuckets(lines, count, nil)
}

// splitIntoSelectedBuckets distributes lines over the selected ones of count buckets and leaves the others empty. A nil
// map selects all buckets.
func splitIntoSelectedBuckets(lines []rule.Line, count int, selected map[int]bool) [][]rule.Line {
	buckets := make([][]rule.Line, count)
	for _, l := range lines {
		if b := bucketIndex(l, count); selected == nil || selected[b] {
			buckets[b] = append(buckets[b], l)
		}
	}
	return buckets
}

// partName returns a part's name, made of the digest of its content and its writer. With the writer in the name, only
// that writer creates the part, and equal content in a later revision has another name, so that a retired part can be
// removed safely.
func partName(text []byte, writer string) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]) + "-" + writer
}

// samePartContents reports whether two lists of part names have the same digests, whoever wrote the parts.
func samePartContents(a, b []string) bool {
	return slices.EqualFunc(a, b, func(x, y string) bool { return partDigest(x) == partDigest(y) })
}

// partDigest returns the digest in a part's name.
func partDigest(name string) string {
	digest, _, _ := strings.Cut(name, "-")
	return digest
}

// repartition encodes the parts that the differences touch. It returns the names of all parts and the encoded ones.
// If a part exceeds maxPartBytes, the number of parts is doubled and all of them are encoded again.
func (r *Revision) repartition(
	set *rule.Set, differences []rule.Difference, writer string,
) ([]string, []encodedPart, error) {
	count := max(len(r.head.Parts), 1)
	touched := make(map[int]bool)
	for _, d := range differences {
		touched[bucketIndex(d.Line(), count)] = true
	}
	if len(r.head.Parts) == 0 {
		touched = nil
	}
	for ; count <= maxParts; count *= 2 {
		buckets := splitIntoSelectedBuckets(set.Lines(), count, touched)
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

// encodeBuckets encodes the touched buckets, all if touched is nil, and keeps the old names of the others. The third
// result is false if a part exceeds maxPartBytes.
func encodeBuckets(
	buckets [][]rule.Line, old []string, touched map[int]bool, writer string,
) ([]string, []encodedPart, bool, error) {
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

// compressPart returns the stored form of a part's text.
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

// verifiedText decompresses a part and checks it against the digest in its name.
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
		return nil, invalid.New("config: the content of part %s does not match its digest", name)
	}
	return text, nil
}

// decodeLines verifies a part and decodes the rules in it.
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

// encodePart encodes the part of the revision with the given name from the rules in memory.
func (r *Revision) encodePart(name string) (StoredPart, error) {
	i := slices.Index(r.head.Parts, name)
	if i < 0 {
		return StoredPart{}, stale.New("config: part %s does not belong to revision %d", name, r.Number)
	}
	text, err := rule.EncodeLines(splitIntoSelectedBuckets(r.Rules.Lines(), len(r.head.Parts), map[int]bool{i: true})[i])
	if err != nil {
		return StoredPart{}, err
	}
	return compressPart(text)
}
