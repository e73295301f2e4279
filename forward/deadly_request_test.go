package forward

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// Bounds of the users' rule on requests that crash the servers that run them.
const (
	crashesUnderRequest = 3 // servers that may crash under one request before all instances must know it
	retriesAfterwards   = 3 // times that it may be sent to servers from contactTime after the last of those crashes
	clientRetryPause    = 20 * time.Millisecond
	repeatPause         = 700 * time.Millisecond
)

// deadlyCase is a kind of deadly request, with the way that it takes to a server.
type deadlyCase struct {
	name    string
	request testRequest
	deadly  backend.DeadlyRequest
}

var deadlyCases = []deadlyCase{
	{"lookup", statusRequest("lookup"), backend.DeadlyRequest{Text: "/status/1", After: 5 * time.Millisecond}},
	{"lookup that crashes after its attempt was cut", statusRequest("late"), backend.DeadlyRequest{Text: "/status/1", After: 110 * time.Millisecond}},
	{"order", orderRequest("order"), backend.DeadlyRequest{Text: "/order/1", After: 5 * time.Millisecond}},
	{"prefill", streamRequest("/digest/1", "prefill"), backend.DeadlyRequest{Text: "/digest/1", Prefill: true}},
	{"decode", streamRequest("/digest/1", "decode"), backend.DeadlyRequest{Text: "/digest/1", After: 10 * time.Millisecond}},
	{"decode in the midst of its stream", draftRequest("draft"), backend.DeadlyRequest{Text: "/draft/1", After: 300 * time.Millisecond}},
}

// allServers returns all servers of the environment.
func (env *testEnv) allServers() []*backend.Server {
	return slices.Concat(env.plain, env.prefill, env.decode)
}

// sendDeadly sends a deadly request again and again, each with one more retry of the client after a failure.
func (env *testEnv) sendDeadly(req testRequest, repeats int) {
	name := req.id
	for n := range repeats {
		for attempt := range 2 {
			req.id = fmt.Sprintf("%s-%d-%d", name, n, attempt)
			if got := env.send(req); got.Code == http.StatusOK || got.Code == http.StatusServiceUnavailable {
				break
			}
			sleep(clientRetryPause)
		}
		sleep(repeatPause)
	}
}

// checkDeadlyRequest checks that a deadly request stayed away from servers once it had crashed some of them, and that what
// callers were told of it is true.
func (env *testEnv) checkDeadlyRequest(t *testing.T, name string) {
	t.Helper()
	crashes := crashesOf(env.allServers())
	if len(crashes) > crashesUnderRequest {
		t.Errorf("%s: %d servers crashed, aim %d", name, len(crashes), crashesUnderRequest)
	}
	if len(crashes) < crashesUnderRequest {
		return
	}
	known, late := crashes[crashesUnderRequest-1].Add(contactTime), make(map[string]bool)
	for _, s := range env.allServers() {
		for _, received := range s.Received() {
			if strings.HasPrefix(received.ID, name+"-") && received.ReceivedAt.After(known) {
				late[received.ID] = true
			}
		}
	}
	if len(late) > retriesAfterwards {
		t.Errorf("%s: sent to servers %d times after it had crashed %d of them", name, len(late), crashesUnderRequest)
	}
}

// The BUDGET incident: a request that had crashed three servers was sent on to servers whenever it came again.
func TestRepeatsOfARequestThatCrashesServersAreStopped(t *testing.T) {
	for _, c := range deadlyCases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				for _, s := range env.allServers() {
					s.DeadlyRequests, s.RestartTime = []backend.DeadlyRequest{c.deadly}, 3*time.Second
				}
				env.sendDeadly(c.request, 40)
				env.checkDeadlyRequest(t, c.request.id)
			})
		})
	}
}

// Several deadly requests come at once, beside sound ones of the same caller. All sound ones are served that come while
// servers are up.
func TestDeadlyRequestsDoNotTakeSoundOnesWithThem(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.plain {
			s.RestartTime = time.Second
			for n := range 3 {
				s.DeadlyRequests = append(s.DeadlyRequests, backend.DeadlyRequest{Text: fmt.Sprint("/status/dead", n), After: 5 * time.Millisecond})
			}
		}
		var sending sync.WaitGroup
		for n := range 3 {
			req := statusRequest(fmt.Sprint("dead", n))
			req.path = fmt.Sprint("/status/dead", n)
			sending.Go(func() { env.sendDeadly(req, 40) })
		}
		sleep(10 * time.Second)
		served := 0
		for n := range 200 {
			req := statusRequest(fmt.Sprint("sound", n))
			req.path = fmt.Sprint("/status/", n%20)
			if env.send(req).Code == http.StatusOK {
				served++
			}
			sleep(50 * time.Millisecond)
		}
		sending.Wait()
		if served < 200 {
			t.Errorf("%d of 200 sound requests were served once the deadly ones were known", served)
		}
		if n := len(crashesOf(env.plain)); n > 3*crashesUnderRequest {
			t.Errorf("%d crashes under three requests", n)
		}
	})
}

// A request that crashed prefill engines, which do not run it, is told when to come back.
func TestRequestBlockedAfterPrefillsGetsTheEndOfTheBlock(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.prefill {
			s.DeadlyRequests, s.RestartTime = []backend.DeadlyRequest{{Text: "/digest/1", Prefill: true}}, 3*time.Second
		}
		got := env.send(streamRequest("/digest/1", "prefill"))
		seconds, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
		if got.Code != http.StatusServiceUnavailable || err != nil || seconds < time.Minute.Seconds() {
			t.Errorf("status %d, Retry-After %q", got.Code, got.Header().Get("Retry-After"))
		}
	})
}
