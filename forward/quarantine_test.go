package forward

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselgate/account"
	"teaselgate/quarantine"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// Bounds of the users' rules on requests that crash engines.
const (
	contactTime        = 3 * time.Second
	crashesToLearn     = 5 // crashes after which such requests must be known
	requestsAfterwards = 3 // such requests that may reach engines from contactTime after the last of those crashes
)

// deadlyRequest returns a request with a part that crashes engines, and a part that sound requests have, too.
func deadlyRequest(id string) testRequest {
	req := streamRequest("/digest/1", id)
	req.parts = []string{"sound", "deadly"}
	return req
}

// crashesOf returns when the engines crashed, oldest first.
func crashesOf(engines []*backend.Server) []time.Time {
	var out []time.Time
	for _, s := range engines {
		out = append(out, s.Crashes()...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// checkCrashes checks that few requests with a deadly part reached engines once they had crashed often enough.
func checkCrashes(t *testing.T, env *testEnv, isDeadly func(id string) bool) {
	t.Helper()
	crashes := crashesOf(env.decode)
	if len(crashes) < crashesToLearn {
		return
	}
	known := crashes[crashesToLearn-1].Add(contactTime)
	late := make(map[string]bool)
	for _, s := range slices.Concat(env.prefill, env.decode) {
		for _, received := range s.Received() {
			if isDeadly(received.ID) && received.ReceivedAt.After(known) {
				late[received.ID] = true
			}
		}
	}
	if len(late) > requestsAfterwards {
		t.Errorf("%d requests reached engines although their part had crashed %d of them", len(late), len(crashes))
	}
}

// The incident of the day "tainted": requests with a part that crashes engines kept reaching one engine after the other,
// and each crash cut the streams of other requests.
func TestRequestsThatCrashEnginesAreStopped(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.decode {
			s.DeadlyParts, s.RestartTime = []string{"deadly"}, 300*time.Millisecond
		}
		var sending sync.WaitGroup
		served := 0
		for n := range 30 {
			env.send(deadlyRequest(fmt.Sprint("deadly", n)))
			sleep(400 * time.Millisecond)
			sound := streamRequest("/digest/1", fmt.Sprint("sound", n))
			sound.parts = []string{"sound", fmt.Sprint("other", n)}
			if got := env.send(sound); got.Code == http.StatusOK && !got.broken {
				served++
			}
		}
		sending.Wait()
		checkCrashes(t, env, func(id string) bool { return id[0] == 'd' })
		if served < 28 {
			t.Errorf("%d of 30 sound requests with the same account and first part were served", served)
		}
	})
}

// A request that tries lapsed parts and crashes an engine is not sent to another one.
func TestTrialThatCrashesAnEngineIsNotRepeated(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.decode {
			s.DeadlyParts, s.RestartTime = []string{"deadly"}, 300*time.Millisecond
		}
		env.send(deadlyRequest("first"))
		sleep(3 * time.Minute)
		before := len(crashesOf(env.decode))
		env.send(deadlyRequest("trial"))
		env.send(deadlyRequest("next"))
		if got := len(crashesOf(env.decode)) - before; before != 2 || got != 1 {
			t.Errorf("%d crashes at first, %d by the trial", before, got)
		}
	})
}

// An answer of a single event clears the parts of its prompt, too.
func TestShortAnswersClearTheirParts(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.decode {
			s.StreamEvents = 1
		}
		crash := quarantine.Crash{Caller: quarantine.Caller{Account: caller.Account, Key: account.Hash(testKey)}, Parts: []string{"sound"}}
		for n := range 2 {
			crash.Request, crash.Server = fmt.Sprint(n), fmt.Sprint("gone", n)
			env.handler.Quarantine.ReportCrash(crash)
			sleep(time.Second)
		}
		req := streamRequest("/digest/1", "sound")
		req.parts = []string{"sound"}
		if got := env.send(req); got.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d of a request with parts under which engines crashed", got.Code)
		}
		sleep(time.Minute)
		for n := range 3 {
			req.id = fmt.Sprint("sound", n)
			if got := env.send(req); got.Code != http.StatusOK || got.broken {
				t.Errorf("request %d after the term: status %d, broken %v", n, got.Code, got.broken)
			}
		}
	})
}
