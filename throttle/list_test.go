package throttle

import (
	"testing"
	"time"

	"teaselgate/upstream"
)

var server = upstream.ServerKey{Server: "s0", Address: "10.0.0.1:80"}

// A limit ends with an answer that no longer names it, unless the answer may be older than the naming, or is of a kind
// that never names limits.
func TestLimitEndsWhenTheServerNoLongerNamesIt(t *testing.T) {
	cases := []struct {
		name   string
		answer Answer
		sent   time.Duration // when its request was sent, from the naming
		want   bool
	}{
		{"same kind, sent later", Answer{Kind: Run}, time.Millisecond, false},
		{"same kind, sent before", Answer{Kind: Run}, -time.Millisecond, true},
		{"another kind", Answer{Kind: Control}, time.Millisecond, true},
		{"named again", Answer{Kind: Reject, Limited: true, Rate: 2.5}, time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := NewList()
			l.Now = func() time.Time { return now }
			l.Observe(server, Answer{Kind: Run, Limited: true, Rate: 2.5, SentAt: now})
			c.answer.SentAt = now.Add(c.sent)
			now = now.Add(time.Second)
			l.Observe(server, c.answer)
			if got := len(l.Limits()) == 1; got != c.want {
				t.Errorf("the limit is in force: %v instead of %v", got, c.want)
			}
		})
	}
}
