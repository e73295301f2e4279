package cell

import (
	"time"

	"teaselgate/queue"
)

// instant is a time on the clock of one core.
type instant = queue.Instant

// clockStart is the time on a core's clock when the core is created.
const clockStart = instant(time.Hour)

func later(a, b instant) instant { return max(a, b) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
