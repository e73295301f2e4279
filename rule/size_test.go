package rule

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// accountsAtScale is the number of client accounts to design for; each has two keys.
const accountsAtScale = 35_000

func rulesAtScale() []byte {
	var text strings.Builder
	for i := range accountsAtScale {
		fmt.Fprintf(&text, "- {account: dala-shop-%05d, rate: 1000, burst: 4000, weight: 1}   # aigerim 2026-11-02: shop in the village\n", i)
		for k := range 2 {
			fmt.Fprintf(&text, "- {key: \"sha256:%064x\", account: dala-shop-%05d}   # marat 2026-11-02: key %d of the shop\n", 2*i+k, i, k)
		}
	}
	return []byte(text.String())
}

// BenchmarkParse reads a file at the size to design for.
func BenchmarkParse(b *testing.B) {
	text := rulesAtScale()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, problems := Parse("r.yaml", text); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

// BenchmarkDecode reads the same rules as instances load them, and states the memory they take.
func BenchmarkDecode(b *testing.B) {
	set, _ := Parse("r.yaml", rulesAtScale())
	text, err := EncodeLines(set.Lines())
	if err != nil {
		b.Fatal(err)
	}
	set = nil
	before := heapBytes()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		lines, err := DecodeLines(text)
		if err != nil {
			b.Fatal(err)
		}
		if set, _ = Build(lines); len(set.Lines()) != 3*accountsAtScale {
			b.Fatal("lines are missing")
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB-held")
	runtime.KeepAlive(set)
}

// BenchmarkApply changes one rule among all.
func BenchmarkApply(b *testing.B) {
	set, _ := Parse("r.yaml", rulesAtScale())
	line, err := ParseLine("{account: new, rate: 1, burst: 1}", "marat: new shop")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, _, err := set.Apply([]Difference{{New: line}}); err != nil {
			b.Fatal(err)
		}
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
