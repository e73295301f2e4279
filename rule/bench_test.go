package rule

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// accountsAtDesignSize is the number of client accounts that the rules are designed for; each has two keys.
const accountsAtDesignSize = 35_000

func rulesAtDesignSize() []byte {
	var text strings.Builder
	for i := range accountsAtDesignSize {
		fmt.Fprintf(&text, "- {account: dala-shop-%05d, rate: 1000, burst: 4000, weight: 1}   # aigerim 2026-11-02: shop in the village\n", i)
		for keyNumber := range 2 {
			fmt.Fprintf(&text, "- {key: \"sha256:%064x\", account: dala-shop-%05d}   # marat 2026-11-02: key %d of the shop\n", 2*i+keyNumber, i, keyNumber)
		}
	}
	return []byte(text.String())
}

// BenchmarkParse measures parsing a rules file of design size.
func BenchmarkParse(b *testing.B) {
	text := rulesAtDesignSize()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, problems := Parse("r.yaml", text); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

// BenchmarkDecode measures decoding the rules of design size as instances do, and the heap that they take.
func BenchmarkDecode(b *testing.B) {
	set, _ := Parse("r.yaml", rulesAtDesignSize())
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
		if set, _ = Build(lines); len(set.Lines()) != 3*accountsAtDesignSize {
			b.Fatal("unexpected number of lines")
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB-held")
	runtime.KeepAlive(set)
}

// BenchmarkApply measures the addition of one rule to the rules of design size.
func BenchmarkApply(b *testing.B) {
	set, _ := Parse("r.yaml", rulesAtDesignSize())
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

// heapBytes returns the bytes of live heap objects after garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
