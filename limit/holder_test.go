package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/standin/bubble"
)

// The holders of most are told to end first, and only for those that hold less.
func TestLargestHolderIsToldToEndFirst(t *testing.T) {
	m := NewMemory(1 << 20)
	var ended []string
	holders := make(map[string]*Holder)
	for _, holder := range []struct {
		name  string
		bytes int64
	}{{"large", 600 << 10}, {"medium", 250 << 10}, {"small", 10 << 10}} {
		h := m.NewHolder(func() { ended = append(ended, holder.name) })
		h.SetEndable(true)
		if !h.Take(holder.bytes) {
			t.Fatalf("no room for %s", holder.name)
		}
		holders[holder.name] = h
	}
	requester := m.NewHolder(nil)
	if !requester.Take(200<<10) || len(ended) != 1 || ended[0] != "large" {
		t.Errorf("unexpected holders that were told to end: %v", ended)
	}
	holders["large"].Release()
	if requester.Take(700<<10) || len(ended) != 1 {
		t.Errorf("a holder that would hold most took room from others: %v", ended)
	}
	holders["medium"].SetEndable(false)
	other := m.NewHolder(nil)
	if !requester.Take(430<<10) || other.Take(100<<10) {
		t.Error("a holder that may not be ended gave way")
	}
	holders["medium"].SetEndable(true)
	if !other.Take(100<<10) || len(ended) != 2 || ended[1] != "medium" {
		t.Errorf("unexpected holders that were told to end: %v", ended)
	}
}

// Those that hold much leave a part of the memory to those that hold little, and one alone may hold all.
func TestShareOfMemoryIsKeptForOrdinaryHolders(t *testing.T) {
	m := NewMemory(800 << 10)
	alone := m.NewHolder(nil)
	if !alone.Take(800 << 10) {
		t.Error("a holder alone could not take all")
	}
	alone.Shrink(600 << 10)
	large, ordinary := m.NewHolder(nil), m.NewHolder(nil)
	if large.Take(150 << 10) {
		t.Error("a large holder took the share of others")
	}
	if !ordinary.Take(50 << 10) {
		t.Error("no room for an ordinary holder")
	}
}

// Holders that were told to end hold their memory until they have ended. Meanwhile others wait.
func TestHolderWaitsForThoseThatEnd(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := NewMemory(1 << 20)
		var slow *Holder
		slow = m.NewHolder(func() {
			go func() {
				time.Sleep(time.Second)
				slow.Release()
			}()
		})
		slow.SetEndable(true)
		if !slow.Take(1 << 20) {
			t.Fatal("no room")
		}
		start := time.Now()
		requester := m.NewHolder(nil)
		if !requester.Take(512<<10) || time.Since(start) > time.Second {
			t.Errorf("unexpected wait of %v for room within the excess", time.Since(start))
		}
		if !requester.Take(256<<10) || time.Since(start) != time.Second {
			t.Errorf("unexpected wait of %v for memory that is given back", time.Since(start))
		}
	})
}

// Whatever holders do, what they hold is what the memory counts.
func TestMemoryCountsWhatHoldersHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(1 << 20)
		var told []*Holder
		holders := make([]*Holder, 4)
		for n := range holders {
			holders[n] = m.NewHolder(func() { told = append(told, holders[n]) })
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, 3).Draw(t, "holder")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				h.Take(rapid.Int64Range(0, 200<<10).Draw(t, "bytes"))
			case 2:
				h.Shrink(rapid.Int64Range(0, 200<<10).Draw(t, "kept"))
			case 3:
				h.SetEndable(rapid.Bool().Draw(t, "endable"))
			case 4:
				h.Release()
			}
			for _, h := range told {
				h.Release()
				h.Keep()
			}
			told = nil
			sum := int64(0)
			for _, h := range holders {
				sum += h.Held()
			}
			if m.Used() != sum || m.ending != 0 || sum > 1<<20 {
				t.Fatalf("%d bytes are counted, %d of them of holders that end; held are %d", m.Used(), m.ending, sum)
			}
		}
	})
}
