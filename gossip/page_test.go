package gossip

import (
	"context"
	"errors"
	"slices"
	"testing"

	"teaselgate/standin/bubble"
)

// Pages must hold each group that differs exactly once, and be no larger than a page unless a single group is.
func TestPagesHoldEachDifferingGroupOnce(t *testing.T) {
	var own Digests
	var sizes [Groups]int
	other := make([]uint64, Groups)
	want := []int{1, 2, 3, 40, 41, 63}
	for _, group := range want {
		own[group] = 7
		sizes[group] = PageBytes/2 + 1
	}
	sizes[0], sizes[2] = 3*PageBytes, 3*PageBytes
	tests := map[string]struct {
		other []uint64
		want  []int
	}{
		"some differ":     {other, want},
		"none differs":    {own[:], nil},
		"nothing known":   {nil, nil},
		"too few digests": {own[:Groups-1], []int{Groups - 1}},
	}
	for group := range Groups {
		all := tests["nothing known"]
		all.want = append(all.want, group)
		tests["nothing known"] = all
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []int
			err := EachPage(t.Context(), func(_ context.Context, from int) (int, error) {
				page, next := own.Differing(test.other).Page(from, sizes)
				size, groups := 0, 0
				for group, in := range page {
					if in {
						got = append(got, group)
						size, groups = size+sizes[group], groups+1
					}
				}
				if groups > 1 && size > PageBytes {
					t.Errorf("a page of %d groups has %d bytes", groups, size)
				}
				return next, nil
			})
			if err != nil || !slices.Equal(got, test.want) {
				t.Errorf("unexpected groups %v instead of %v, error %v", got, test.want, err)
			}
		})
	}
}

// A peer that names the same page again must not keep an instance asking, nor one that does not reply.
func TestPagesEndWithAPeerThatDoesNotGoOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		calls := 0
		err := EachPage(t.Context(), func(context.Context, int) (int, error) {
			calls++
			return 5, nil
		})
		if err != nil || calls != 2 {
			t.Errorf("%d calls of a peer that stays at one page, error %v", calls, err)
		}
		err = EachPage(t.Context(), func(ctx context.Context, _ int) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("unexpected error %v for a silent peer", err)
		}
	})
}
