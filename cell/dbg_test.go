package cell

import (
	"fmt"
	"teaselgate/rule"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	b := bench{place: rule.PlaceCell, seed: 0, load: 0.7, prefills: 8, decodes: 12, length: 20 * time.Second, summary: 0.3}
	go func() {}()
	b.probe = func() {
		c := b.core
		fmt.Printf("t=%v wait=%d placed=%d rate=%.0f ", b.now.Sub(benchStart).Round(time.Millisecond), c.queue.length, len(c.placed), c.rate.perSecond())
		for _, p := range c.prefills {
			e := b.engines[p.server.Server]
			fmt.Printf("[%.0f/%.0f %v~%v] ", p.rate, p.linkRate, p.free.Sub(b.now).Round(time.Millisecond), e.free.Sub(b.now).Round(time.Millisecond))
		}
		for _, d := range c.decodes {
			fmt.Printf("(%d/%d f%d x%.2f s%.1f) ", len(d.streams), d.limit, d.foreign, d.steps.factor, d.steps.step(20)*1000)
		}
		fmt.Println()
		if b.now.Before(benchStart.Add(b.length)) {
			b.at(time.Second, b.probe)
		}
	}
	r := b.run()
	fmt.Println(r.good, r.sent)
}
