package transfer

import (
	"slices"
	"time"
)

// Bounds on what an instance sends at once. Each instance that it gives parts to has one reply under way on a connection.
const (
	maxUploads    = 3
	uploadTimeout = 100 * time.Millisecond // time after the last request of an instance for which its upload counts
)

// Uploads bounds the number of instances that get parts at once. The zero value has none.
type Uploads struct {
	until map[string]time.Time // end of each upload, by address of the receiver
}

// Start reports whether an instance may have parts now. Its upload goes on while it keeps asking.
func (u *Uploads) Start(address string, now time.Time) bool {
	if u.until == nil {
		u.until = make(map[string]time.Time)
	}
	for other, end := range u.until {
		if now.After(end) {
			delete(u.until, other)
		}
	}
	if _, running := u.until[address]; !running && len(u.until) >= maxUploads {
		return false
	}
	u.until[address] = now.Add(uploadTimeout)
	return true
}

// Receivers returns the addresses of the instances that get parts, except one.
func (u *Uploads) Receivers(except string) []string {
	var out []string
	for address := range u.until {
		if address != except {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}
