package registry

import (
	"fmt"
	"testing"

	"teaselgate/transfer"
)

// BenchmarkConfiguration measures what a version of a configuration costs an instance: its parts, its decoding, and the view.
func BenchmarkConfiguration(b *testing.B) {
	for _, routes := range []int{20, 1400, 4200} {
		text := []byte(largeConfigurationJSON(1, routes, "a.example"))
		b.Run(fmt.Sprintf("parts/%d routes", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				transfer.NewDocument(text)
			}
		})
		b.Run(fmt.Sprintf("decode/%d routes", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := NewFollower(nil).decodeConfig(1, text, transfer.NewDocument(nil)); !ok {
					b.Fatal("the configuration is invalid")
				}
			}
		})
		b.Run(fmt.Sprintf("view/%d routes", routes), func(b *testing.B) {
			c, _ := NewFollower(nil).decodeConfig(1, text, transfer.NewDocument(nil))
			b.ReportAllocs()
			for b.Loop() {
				NewView(c.decoded, nil, EngineSettings{})
			}
		})
	}
}
