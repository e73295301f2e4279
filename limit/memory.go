package limit

import (
	"runtime"
	"sync"
	"time"
)

// A share of each memory is kept for holders of little, as most callers are.
const (
	ordinaryBytes = 64 << 10 // most that such a holder holds
	keptDivisor   = 8        // part of the memory that is kept for them
	spareDivisor  = 2        // part of the memory that ReserveSpare leaves
	excessDivisor = 2        // part by which holders that were told to end, and garbage, may exceed the memory
)

// Memory is the memory that an instance may use for what it holds for callers and backend servers that are slower than it:
// heads and bodies of requests, and responses that were read before they could be written.
type Memory struct {
	max    int64
	minAge time.Duration // time for which a holder is not ended

	mu       sync.Mutex
	released *sync.Cond
	used     int64
	ending   int64                // part of used that is held by holders that were told to end
	holders  map[*Holder]struct{} // holders that may be ended
	garbage  garbage              // what was given back and may not have been collected
}

// NewMemory returns a memory of a number of bytes; 0 for no limit.
func NewMemory(bytes int64) *Memory {
	m := &Memory{max: bytes, holders: make(map[*Holder]struct{})}
	m.released = sync.NewCond(&m.mu)
	return m
}

// bodyMinAge is how long a body may take before its request may be refused for another one.
const bodyMinAge = time.Second

// NewBodyMemory returns a memory for bodies, whose holders are not told to end as soon as they begin.
func NewBodyMemory(bytes int64) *Memory {
	m := NewMemory(bytes)
	m.minAge = bodyMinAge
	return m
}

// Reserve takes n bytes and reports whether they are within the limit. If not, it takes none.
func (m *Memory) Reserve(n int64) bool { return m.reserveUpTo(m.max, n) }

// ReserveSpare takes n bytes if half of the memory stays free for those who can't do without it, and reports whether it did.
func (m *Memory) ReserveSpare(n int64) bool { return m.reserveUpTo(m.max/spareDivisor, n) }

func (m *Memory) reserveUpTo(limit, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.max > 0 && m.used+n > limit {
		return false
	}
	m.used += n
	return true
}

// Release gives n bytes back.
func (m *Memory) Release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release(n)
}

func (m *Memory) release(n int64) {
	m.used -= n
	m.garbage.add(n)
	if n > 0 {
		m.released.Broadcast()
	}
}

// Fits reports whether n more bytes would be within the limit at present.
func (m *Memory) Fits(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.max == 0 || m.used+n <= m.max
}

// Used returns the bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Max returns the limit in bytes; 0 for none.
func (m *Memory) Max() int64 { return m.max }

// Holder is what one request or connection holds of a memory.
type Holder struct {
	memory *Memory
	end    func()    // tells the holder to release its memory soon; called without locks
	since  time.Time // when it was created

	held   int64 // protected by memory.mu, as the fields below
	ending bool  // whether end was called
}

// NewHolder returns a holder of nothing. While SetEndable allows it, end is called when another holder needs the memory.
func (m *Memory) NewHolder(end func()) *Holder {
	return &Holder{memory: m, end: end, since: time.Now()}
}

// SetEndable sets whether the holder may be told to end.
func (h *Holder) SetEndable(endable bool) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if endable {
		h.memory.holders[h] = struct{}{}
	} else {
		delete(h.memory.holders, h)
	}
}

// Take takes n bytes and reports whether it did. Without room, those that hold more than this holder would are told to end,
// the largest first; if there are none, it takes nothing.
func (h *Holder) Take(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !h.ending && m.max > 0 {
		if !m.fitsHolder(h, n) {
			if !m.endLargest(h.held + n) {
				return false
			}
			continue
		}
		if most := m.max + m.max/excessDivisor - m.used - n; m.garbage.counted() <= most || m.garbage.bytes() <= most {
			break
		}
		m.awaitRoom()
	}
	if h.ending {
		return false
	}
	m.used += n
	h.held += n
	return true
}

// awaitRoom waits until memory was given back or garbage was collected. The caller must hold m.mu.
func (m *Memory) awaitRoom() {
	if m.garbage.bytes() > 0 && !m.garbage.collecting {
		m.garbage.collecting = true
		go m.collect()
	}
	m.released.Wait()
}

// collect collects garbage.
func (m *Memory) collect() {
	m.mu.Lock()
	bytes := m.garbage.bytes()
	m.mu.Unlock()
	runtime.GC()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.garbage.collected(bytes)
	m.released.Broadcast()
}

// CanTake reports whether Take of n bytes would succeed.
func (h *Holder) CanTake(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.max == 0 || m.fitsHolder(h, n) || m.largest(h.held+n) != nil
}

// fitsHolder reports whether a holder may take n bytes. One that holds much leaves the kept share to others.
func (m *Memory) fitsHolder(h *Holder, n int64) bool {
	limit := m.max
	if h.held+n > ordinaryBytes && m.used > h.held {
		limit -= m.max / keptDivisor
	}
	return m.used-m.ending+n <= limit
}

// largest returns the holder that holds most of those that may be ended, if it holds more than a number of bytes, or nil.
func (m *Memory) largest(moreThan int64) *Holder {
	var out *Holder
	oldest := time.Now().Add(-m.minAge)
	for h := range m.holders {
		if h.held > moreThan && !h.since.After(oldest) {
			out, moreThan = h, h.held
		}
	}
	return out
}

// endLargest tells the holder that largest returns to end, and reports whether there was one.
func (m *Memory) endLargest(moreThan int64) bool {
	h := m.largest(moreThan)
	if h == nil {
		return false
	}
	delete(m.holders, h)
	h.ending = true
	m.ending += h.held
	m.released.Broadcast() // it may wait for room itself
	m.mu.Unlock()
	h.end()
	m.mu.Lock()
	return true
}

// Keep records that the holder does not end although it was told to.
func (h *Holder) Keep() {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.ending {
		h.ending = false
		m.ending -= h.held
	}
}

// Shrink gives back what the holder holds above a number of bytes.
func (h *Holder) Shrink(bytes int64) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.held <= bytes {
		return
	}
	given := h.held - bytes
	h.held = bytes
	if h.ending {
		m.ending -= given
	}
	m.release(given)
}

// Release gives back all that the holder holds. It is no longer told to end.
func (h *Holder) Release() {
	h.SetEndable(false)
	h.Shrink(0)
}

// Held returns the bytes that the holder holds.
func (h *Holder) Held() int64 {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.held
}
