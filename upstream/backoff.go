package upstream

import (
	"sync"
	"time"
)

// Backoff records which backend servers have asked this instance for no requests, and until when. A server is known by
// its id and its address, so that a new server at the same address is not affected.
type Backoff struct {
	Now func() time.Time

	mu       sync.Mutex
	deadline map[ServerKey]time.Time // time until which each server wants no requests
}

// ServerKey identifies a backend server.
type ServerKey struct{ Server, Address string }

// NewBackoff returns a record of no servers.
func NewBackoff() *Backoff {
	return &Backoff{Now: time.Now, deadline: make(map[ServerKey]time.Time)}
}

// Start records that a server wants no requests for a time from now, and reports whether that is longer than known.
func (b *Backoff) Start(key ServerKey, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired()
	deadline := b.Now().Add(d)
	if d <= 0 || !deadline.After(b.deadline[key]) {
		return false
	}
	b.deadline[key] = deadline
	return true
}

// Until returns the time until which a server wants no requests, or the zero time if it takes them.
func (b *Backoff) Until(key ServerKey) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if deadline := b.deadline[key]; deadline.After(b.Now()) {
		return deadline
	}
	return time.Time{}
}

// Servers returns the ids of the servers that want no requests at present.
func (b *Backoff) Servers() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.deadline) == 0 {
		return nil
	}
	b.removeExpired()
	out := make([]string, 0, len(b.deadline))
	for key := range b.deadline {
		out = append(out, key.Server)
	}
	return out
}

// removeExpired removes the servers that take requests again. The caller holds the lock.
func (b *Backoff) removeExpired() {
	now := b.Now()
	for key, deadline := range b.deadline {
		if !deadline.After(now) {
			delete(b.deadline, key)
		}
	}
}
