package cell

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"teaselgate/rule"
)

// busyCore returns a core whose decode servers are about half full.
func busyCore(now instant, decodes int) *Core {
	c := NewCore(now)
	c.SetServers(now, servers("p", decodes/3+1), servers("d", decodes), rule.Pool{Slots: 20, Pieces: 100}, testTargets)
	for _, d := range c.decodes {
		c.RecordHeld(now, d.server.Server, nil)
		for n := range 10 {
			d.add(&reservation{key: fmt.Sprint(n), decode: d, pieces: 1, maxTokens: 1000 + n}, 0)
		}
	}
	return c
}

// BenchmarkPlace measures one placement and its release.
func BenchmarkPlace(b *testing.B) {
	for _, decodes := range []int{20, 64, 1000} {
		b.Run(fmt.Sprint(decodes), func(b *testing.B) {
			now := clockStart
			c := busyCore(now, decodes)
			request := PlaceRequest{Key: "k", Account: "a", Weight: 1, Class: rule.ClassInteractive, PromptTokens: 100, MaxTokens: 100, Zone: "b"}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c.Submit(now, request)
				if d := c.Decide(now); len(d) != 1 || d[0].Err != nil {
					b.Fatalf("unexpected decisions %v", d)
				}
				c.Release(now, "k", Report{})
			}
		})
	}
}

// BenchmarkMemory reports the bytes that a core keeps for each decode server with 20 requests.
func BenchmarkMemory(b *testing.B) {
	const decodes = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := busyCore(clockStart, decodes)
		for _, d := range c.decodes {
			for n := range 10 {
				d.add(&reservation{key: fmt.Sprint(n), decode: d, pieces: 1, maxTokens: 1000 + n}, 0)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/decodes, "B/server")
		runtime.KeepAlive(c)
	}
}

// BenchmarkMessage reports the bytes of each message of one placement, without the type information that gob sends
// once.
func BenchmarkMessage(b *testing.B) {
	id := ID{Prefill: "chat-prefill", Decode: "chat-decode"}
	messages := map[string]any{
		"place": PlaceArgs{Cell: id, Ask: PlaceRequest{
			Key: "0123456789abcdef01234567-1", Account: "dala-almaty", Weight: 3, Class: rule.ClassInteractive,
			PromptTokens: 3000, MaxTokens: 200, Prefixes: []string{"8a7b6c5d", "12345678", "9abcdef0", "0fedcba9"}, Zone: "ala-a", Waited: time.Millisecond,
		}},
		"reply":   PlaceReply{Status: Placed, Prefill: "p12", Decode: "d34"},
		"release": ReleaseArgs{Cell: id, Places: []Released{{Key: "0123456789abcdef01234567-1", Prefilled: 1e8, Imported: 2e8, Ended: 3e9, Generated: 180}}},
	}
	for name, m := range messages {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				var buffer bytes.Buffer
				encoder := gob.NewEncoder(&buffer)
				_ = encoder.Encode(m)
				first := buffer.Len()
				_ = encoder.Encode(m)
				b.ReportMetric(float64(buffer.Len()-first), "B/message")
			}
		})
	}
}
