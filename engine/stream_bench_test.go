package engine

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkReadChunks measures reading one token from an engine's stream.
func BenchmarkReadChunks(b *testing.B) {
	const tokens = 1000
	var body strings.Builder
	for n := range tokens {
		fmt.Fprintf(&body, "data: {\"attempt\":\"0123456789abcdef01234567-1\",\"index\":%d,\"text\":\"0badcafe-%d \",\"done\":false}\n\n", n, n)
	}
	body.WriteString("data: {\"attempt\":\"0123456789abcdef01234567-1\",\"done\":true}\n\n")
	req := DecodeRequest{Attempt: "0123456789abcdef01234567-1", MaxTokens: tokens}
	b.ReportAllocs()
	for n := 0; n < b.N; n += tokens {
		if err := readChunks(strings.NewReader(body.String()), req, func(Chunk) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
