package limit

import "sync/atomic"

// Memory is the memory that an instance may use for what it holds for callers and backend servers that are slower than it:
// bodies of requests, and responses that were read before they could be written.
type Memory struct {
	max  int64
	used atomic.Int64
}

// NewMemory returns a memory of a number of bytes; 0 for no limit.
func NewMemory(bytes int64) *Memory { return &Memory{max: bytes} }

// Reserve takes n bytes and reports whether they are within the limit. If not, it takes none.
func (m *Memory) Reserve(n int64) bool {
	if m.used.Add(n) <= m.max || m.max == 0 {
		return true
	}
	m.used.Add(-n)
	return false
}

// Release gives n bytes back.
func (m *Memory) Release(n int64) { m.used.Add(-n) }

// Fits reports whether n more bytes would be within the limit at present.
func (m *Memory) Fits(n int64) bool { return m.max == 0 || m.used.Load()+n <= m.max }

// Used returns the bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }
