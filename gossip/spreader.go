// Package gossip spreads what an instance knows to its peers: what is new at once, and what differs, in pages, to peers whose
// digest differs.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"teaselgate/delay"
)

// Timing and fan-out.
const (
	callTimeout   = 500 * time.Millisecond
	smallFleet    = 16              // number of other instances up to which all are told
	largeFanout   = 8               // number of peers told in a larger fleet; they pass on what is new to them
	exchangePause = 5 * time.Second // time before the next exchange with a peer whose digest has not changed
	startDelay    = 100 * time.Millisecond
	startPeers    = 2               // peers asked at once after a start
	maxStartWait  = 5 * time.Second // time in which an instance that starts looks for a peer to learn from
)

// Spreader chooses the peers to tell and to exchange with. Its exported fields are set before use.
type Spreader struct {
	Peers  func() []string // addresses of the other reachable instances
	Call   func(ctx context.Context, address, method string, args, reply any) error
	Failed func(address string, err error) // called when a call to a peer has failed
	Now    func() time.Time

	mu         sync.Mutex
	exchanged  map[string]exchange // last exchange, by address of the peer
	exchanging bool                // whether an exchange with a peer whose digest differs is under way
	ended      bool                // whether Wait was called since Learn
	background sync.WaitGroup
}

// exchange is an exchange with a peer whose knowledge had a digest.
type exchange struct {
	digest uint64
	next   time.Time // time from which knowledge with the same digest may be exchanged again
}

// NewSpreader returns a spreader without peers.
func NewSpreader() *Spreader {
	return &Spreader{
		Peers: func() []string { return nil }, Failed: func(string, error) {}, Now: time.Now,
		exchanged: make(map[string]exchange),
	}
}

// PassesOn reports whether peers pass on what they are told, since not all are told directly.
func (s *Spreader) PassesOn() bool { return len(s.Peers()) > smallFleet }

// Tell calls a method of several peers in the background, of all in a small fleet.
func (s *Spreader) Tell(ctx context.Context, method string, args any, newReply func() any) {
	fanout := smallFleet
	if s.PassesOn() {
		fanout = largeFanout
	}
	for _, address := range s.pick(fanout) {
		s.start(func() {
			call, stop := context.WithTimeout(ctx, callTimeout)
			defer stop()
			if err := s.Call(call, address, method, args, newReply()); err != nil && ctx.Err() == nil {
				s.Failed(address, err)
			}
		})
	}
}

// pick returns up to n random peers.
func (s *Spreader) pick(n int) []string {
	peers := s.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// Learn exchanges what differs with the first peers that this instance knows after its start. It does not wait for that.
func (s *Spreader) Learn(ctx context.Context, exchange func(ctx context.Context, address string) error) {
	s.mu.Lock()
	s.ended = false
	s.mu.Unlock()
	s.start(func() {
		ctx, stop := context.WithTimeout(ctx, maxStartWait)
		defer stop()
		for delay.For(ctx, startDelay) == nil {
			for _, address := range s.pick(startPeers) {
				if exchange(ctx, address) == nil {
					return
				}
			}
		}
	})
}

// ExchangeIfDifferent exchanges what differs, in the background, with a peer whose digest differs from the own one: messages to
// it or from it may have been lost, as while one of the two was paused. There is one such exchange at a time, since it may take
// a narrow link for some time, and after a failure the peer is left alone for exchangePause.
func (s *Spreader) ExchangeIfDifferent(
	address string, own, digest uint64, exchange func(ctx context.Context, address string) error,
) {
	if digest == own || !s.claimExchange(address, digest) {
		return
	}
	s.start(func() {
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		err := exchange(ctx, address)
		s.mu.Lock()
		s.exchanging = false
		s.mu.Unlock()
		if err != nil {
			s.Failed(address, err)
		}
	})
}

// claimExchange reports whether an exchange with a peer is due, and if so counts it as begun.
func (s *Spreader) claimExchange(address string, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if s.exchanging {
		return false
	}
	if last, ok := s.exchanged[address]; ok && last.digest == digest && now.Before(last.next) {
		return false
	}
	for known, last := range s.exchanged {
		if now.After(last.next) {
			delete(s.exchanged, known)
		}
	}
	s.exchanged[address], s.exchanging = exchange{digest, now.Add(exchangePause)}, true
	return true
}

// start runs f in the background, unless Wait was called.
func (s *Spreader) start(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		s.exchanging = false
		return
	}
	s.background.Go(f)
}

// Wait waits until the calls in the background have ended. No others begin before the next Learn.
func (s *Spreader) Wait() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.background.Wait()
}
