package registry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/bubble"
	"teaselgate/transfer"
)

// runFollowers runs followers of a store in fake time. The address of a peer is its number.
func runFollowers(t *testing.T, s *fakeStore, instances int, test func(followers []*Follower)) {
	t.Helper()
	runFollowersWith(t, s, instances, func(int, *Follower) {}, test)
}

// runFollowersWith is runFollowers with a function that sets up each follower.
func runFollowersWith(
	t *testing.T, s *fakeStore, instances int, setUp func(n int, f *Follower), test func(followers []*Follower),
) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		s.set(func() {}) // makes a channel that belongs to the bubble of synctest
		ctx, stop := context.WithCancel(t.Context())
		followers := make([]*Follower, instances)
		var serving sync.WaitGroup
		for n := range followers {
			f := NewFollower(func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
				if s.ignores(n) {
					<-ctx.Done()
					return platform.List{}, platform.ErrUnavailable
				}
				return s.watch(ctx, kind, after)
			})
			f.Changes = func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
				if s.ignores(n) {
					<-ctx.Done()
					return platform.List{}, platform.ErrUnavailable
				}
				return s.changes(ctx, kind, after)
			}
			f.Newest = func(ctx context.Context) (platform.Version, error) {
				if s.ignores(n) {
					<-ctx.Done()
					return 0, platform.ErrUnavailable
				}
				return s.newest()
			}
			f.Self = fmt.Sprint(n)
			f.StartRank = func() int { return n }
			f.Peers = func() []string {
				var out []string
				for m := range instances {
					if m != n {
						out = append(out, fmt.Sprint(m))
					}
				}
				return out
			}
			f.Call = func(_ context.Context, address, method string, args, reply any) error {
				var m int
				_, _ = fmt.Sscan(address, &m)
				switch method {
				case RPCName + ".Fetch":
					return followers[m].Receiver().Fetch(args.(FetchArgs), reply.(*FetchReply))
				case RPCName + ".Parts":
					return followers[m].Receiver().Parts(args.(transfer.Args), reply.(*transfer.Reply))
				case RPCName + ".Leaving":
					return followers[m].Receiver().Leaving(args.(LeavingArgs), reply.(*LeavingReply))
				}
				return followers[m].Receiver().Tell(args.(TellArgs), reply.(*TellReply))
			}
			setUp(n, f)
			followers[n] = f
		}
		for _, f := range followers {
			serving.Go(func() { _ = f.Serve(ctx) })
		}
		sleep(time.Second)
		test(followers)
		stop()
		serving.Wait()
	})
}

// startFetchingConfigs has a follower that does not serve fetch configurations from its peers, until stop is called.
func startFetchingConfigs(f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background()) // that of the test belongs to another bubble of synctest
	ended := make(chan struct{})
	go func() { f.fetchConfigs(ctx); close(ended) }()
	return func() { cancel(); <-ended }
}

// sleep waits in the fake time of a test.
func sleep(d time.Duration) { <-time.After(d) }
