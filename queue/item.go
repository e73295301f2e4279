// Package queue orders the requests that wait for backend servers: by whether they can still be on time, by rank, and within
// a rank by the fair shares of client accounts. It does no I/O and reads no clock.
package queue

// Item is a request that waits. Its exported fields are set before Push.
type Item struct {
	Key        string
	Rank       int     // 0 is the most urgent
	Background bool    // goes behind items that are not, also while it is on time
	Patient    bool    // waits for room that on-time items leave, once it is late
	Late       bool    // has missed its target or is predicted to miss it
	Cost       float64 // work that it needs, in prompt tokens
	Returned   bool    // its caller returns at the time that it was told, and goes ahead of newcomers
	Target     Instant // time by which an item that is not late must be placed

	account *account
}

// urgent reports whether the item goes ahead of background items.
func (i *Item) urgent() bool { return !i.Background && !i.BestEffort() }

// BestEffort reports whether the item gets only the room that on-time items leave. This answers a burst that makes more
// requests late than can be served.
func (i *Item) BestEffort() bool { return i.Late && i.Patient }

// levelOrder returns the order of the level to which the item belongs: lower levels are served first.
func (i *Item) levelOrder() int {
	if i.urgent() {
		return i.Rank
	}
	return backgroundOrder + i.Rank
}

// backgroundOrder is the order of the background level of rank 0, above those of all urgent levels.
const backgroundOrder = 1 << 20
