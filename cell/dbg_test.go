package cell

import (
	"fmt"
	"teaselgate/rule"
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	for _, ld := range []float64{0.9, 1.0, 1.3} {
		b := bench{place: rule.PlaceCell, seed: 0, load: ld, prefills: 5, decodes: 15, length: 20 * time.Second, summary: 0.4}
		var n, idleP, idleD, both, q int
		b.probe = func() {
			c := b.core
			n++
			busyP := 0
			for _, p := range c.prefills {
				if b.engines[p.server.Server].free.After(b.now) {
					busyP++
				}
			}
			used := 0
			lim := 0
			for _, d := range c.decodes {
				used += len(b.engines[d.server.Server].streams)
				lim += d.limit
			}
			if c.queue.length > 0 {
				q++
				idleP += 5 - busyP
				idleD += 300 - used
				if busyP < 5 && used >= lim-5 {
					both++
				}
			}
			if n%2000 == 0 {
				fmt.Printf("t=%v q=%d busyP=%d used=%d lim=%d late=%.0f rate=%.0f rates %.0f %.0f\n", b.now.Sub(benchStart), c.queue.length, busyP, used, lim, c.queue.lateCost, c.rate.perSecond(), c.prefills[0].rate.perSecond, c.prefills[0].linkRate.perSecond)
			}
			if b.now.Before(benchStart.Add(b.length)) {
				b.at(time.Millisecond, b.probe)
			}
		}
		r := b.run()
		fmt.Println(ld, r.good, r.sent, "queue part", float64(q)/float64(n), "idle prefills when queued", float64(idleP)/float64(q), "idle slots", float64(idleD)/float64(q), "decode-limited", float64(both)/float64(q))
	}
}
