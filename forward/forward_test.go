package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// Bounds of the users' rules that the tests check.
const (
	cancelBound = 500 * time.Millisecond // between a caller's leaving and the end of its work
	finalBound  = 500 * time.Millisecond // for the final answer after the route's timeout
)

func TestAnswersPassUnchanged(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, a := range []ask{order("o1"), status("s1")} {
			got := w.ask(a)
			if got.Code != http.StatusOK || got.Body.String() != "whole answer of "+a.id || !caller.Sealed(got.Header()) {
				t.Errorf("unexpected answer to %s, got %d %q", a.id, got.Code, got.Body)
			}
		}
		for _, s := range w.plain {
			for _, seen := range s.Seen() {
				checkPassed(t, s.ID, seen)
			}
		}
	})
}

// checkPassed tells whether a request arrived as the caller sent it, with what the router adds and without the key.
func checkPassed(t *testing.T, server string, seen backend.Seen) {
	t.Helper()
	wants := map[string]ask{"o1": order("o1"), "s1": status("s1")}
	want := wants[seen.ID]
	if seen.Path != want.path || seen.Body != want.body {
		t.Errorf("unexpected request, got %q %q instead of %q %q", seen.Path, seen.Body, want.path, want.body)
	}
	if seen.Account() != caller.Account || seen.Meant() != server {
		t.Errorf("unexpected account %q or server %q", seen.Account(), seen.Meant())
	}
	if left, ok := seen.TimeLeft(); !ok || left > 600*time.Millisecond || left < 500*time.Millisecond {
		t.Errorf("unexpected time left, got %v", left)
	}
	if seen.Shows(secret) {
		t.Errorf("the key reached %s", server)
	}
}

func TestHeadersOfTheRouterAreNotTakenFromCallers(t *testing.T) {
	inWorld(t, func(w *world) {
		a := stream("/draft/1", "d1")
		a.forged = true
		if got := w.ask(a); got.Code != http.StatusOK {
			t.Fatalf("unexpected status %d", got.Code)
		}
		hidden := caller.Forge(make(http.Header), "")
		for _, s := range append(w.prefill, w.decode...) {
			for _, seen := range s.Seen() {
				for _, name := range hidden {
					if seen.Header.Get(name) != "" {
						t.Errorf("%s of a caller reached %s", name, s.ID)
					}
				}
				if seen.Account() != caller.Account || strings.HasPrefix(seen.Source(), "10.9.9.9") || seen.Shows(secret) {
					t.Errorf("unexpected headers at %s, got %v", s.ID, seen.Header)
				}
			}
		}
	})
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		ask    ask
		status int
	}{
		{"unknown key", ask{method: "POST", path: "/order/1", id: "a", key: "wrong"}, http.StatusUnauthorized},
		{"no key", ask{method: "POST", path: "/order/1", id: "a"}, http.StatusUnauthorized},
		{"no route", ask{method: "GET", path: "/nothing/", id: "a", key: secret}, http.StatusNotFound},
		{"body too large", ask{method: "POST", path: "/order/1", id: "a", key: secret, body: strings.Repeat("x", 5000)}, http.StatusRequestEntityTooLarge},
		{"open to all", ask{method: "GET", path: "/open/1", id: "a"}, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				if got := w.ask(c.ask); got.Code != c.status {
					t.Errorf("unexpected status, got %d instead of %d", got.Code, c.status)
				}
				if n := runs(w.plain, "a"); c.status != http.StatusOK && n > 0 {
					t.Errorf("a refused request ran %d times", n)
				}
			})
		})
	}
}

// Every fault of a plain server at every kind of request: what the caller gets is whole and true, and what may not be
// repeated runs at most once.
func TestPlainFaults(t *testing.T) {
	faults := map[string]backend.Faults{
		"fails": {Fail: true}, "rejects": {Shed: true}, "loses the answer": {LoseAnswer: true}, "cuts the answer": {Cut: true},
		"no proof": {Unsealed: true}, "another's answer": {Foreign: true}, "another server": {Another: true}, "silent": {Silent: true},
	}
	for name, f := range faults {
		for _, a := range []ask{order("x"), status("x")} {
			for _, faulty := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, %s, %d of 3", name, a.path, faulty), func(t *testing.T) {
					inWorld(t, func(w *world) {
						all(w.plain[:faulty], f)
						for n := range 6 {
							a.id = fmt.Sprintf("x%d", n)
							checkPlain(t, w, a, w.ask(a), f)
						}
						pass(time.Second)
						if n := working(w.plain); n > 0 {
							t.Errorf("%d requests still run", n)
						}
					})
				})
			}
		}
	}
}

func checkPlain(t *testing.T, w *world, a ask, got answer, f backend.Faults) {
	t.Helper()
	n := runs(w.plain, a.id)
	if a.method == "POST" && n > 1 {
		t.Errorf("%s ran %d times", a.id, n)
	}
	if a.method == "GET" && n > 2 {
		t.Errorf("%s ran on %d servers, more than the route allows", a.id, n)
	}
	switch {
	case got.Code == http.StatusOK && got.Body.String() != "whole answer of "+a.id:
		t.Errorf("%s got a wrong answer %q", a.id, got.Body)
	case (got.Code == http.StatusServiceUnavailable || got.Code == http.StatusTooManyRequests) && a.method == "POST" && n > 0:
		t.Errorf("%s was refused as not run, but ran", a.id)
	case got.Code >= http.StatusInternalServerError && caller.Sealed(got.Header()) && !f.Fail:
		t.Errorf("%s got a failure with a server's proof that it did not give", a.id)
	}
	if got.took > 600*time.Millisecond+finalBound {
		t.Errorf("%s was answered after %v", a.id, got.took)
	}
}

// Replays the load of servers whose connections are refused: the next one is asked and nothing has run.
func TestUnreachableServersCostNothing(t *testing.T) {
	inWorld(t, func(w *world) {
		w.down["10.0.0.0:80"], w.down["10.0.0.1:80"] = true, true
		for n := range 10 {
			if got := w.ask(order(fmt.Sprint("o", n))); got.Code != http.StatusOK {
				t.Errorf("unexpected status, got %d although a server works", got.Code)
			}
		}
		w.down["10.0.0.2:80"] = true
		w.handler.Servers.Close() // also the connection that is kept
		got := w.ask(order("last"))
		if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
			t.Errorf("unexpected answer, got %d %v", got.Code, got.Header())
		}
		if got.took > 100*time.Millisecond {
			t.Errorf("a request that no server can take was held for %v", got.took)
		}
	})
}

// Replays the load of a service that fails everywhere: repeats stay within the budget of the instance.
func TestRepeatsKeepToTheBudget(t *testing.T) {
	inWorld(t, func(w *world) {
		const requests, burst, share = 100, 10, 0.2
		all(w.plain, backend.Faults{Fail: true})
		for n := range requests {
			w.ask(status(fmt.Sprint("s", n)))
		}
		arrivals := 0
		for _, s := range w.plain {
			arrivals += len(s.Seen())
		}
		if extra := arrivals - requests; extra > burst+share*requests {
			t.Errorf("%d arrivals beyond the first of their request, more than %d and %v of the requests", extra, burst, share)
		}
	})
}

func TestCallersThatLeaveEndTheirWork(t *testing.T) {
	for _, a := range []ask{order("x"), status("x"), stream("/draft/1", "x"), stream("/digest/1", "x")} {
		for _, leave := range []time.Duration{time.Millisecond, 8 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprint(a.path, leave), func(t *testing.T) {
				inWorld(t, func(w *world) {
					for _, s := range w.plain {
						s.Work = 300 * time.Millisecond
					}
					a.leave = leave
					w.ask(a)
					pass(cancelBound - leave)
					if n := working(w.plain, w.prefill, w.decode); n > 0 {
						t.Errorf("%d requests still run %v after their caller left", n, cancelBound)
					}
				})
			})
		}
	}
}

func TestStreamsAreWhole(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.ask(stream("/draft/1", "d1"))
		if got.Code != http.StatusOK || got.broken || got.Body.String() != events(1, 10) {
			t.Errorf("unexpected stream, got %d %q", got.Code, got.Body)
		}
		if n := runs(w.decode, "d1"); n != 1 {
			t.Errorf("the stream ran %d times", n)
		}
		pass(time.Second)
		for _, s := range append(w.prefill, w.decode...) {
			if s.Used() > 0 {
				t.Errorf("%s still holds %d tokens", s.ID, s.Used())
			}
		}
	})
}

func events(first, last int) string {
	var out strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: token %d\n\n", n, n)
	}
	return out.String()
}

// Replays the load of engines that fail at each step of a stream. A stream that may not be resumed runs at most once
// and breaks visibly; one that may goes on at another engine without a gap or a repeat.
func TestEngineFaults(t *testing.T) {
	cases := []struct {
		name           string
		prefill        backend.Faults
		decode         backend.Faults
		draft, resumed int // status; 0: broken off visibly
	}{
		{"a prefill engine rejects", backend.Faults{Shed: true}, backend.Faults{}, 200, 200},
		{"a prefill engine loses answers", backend.Faults{LoseAnswer: true}, backend.Faults{}, 200, 200},
		{"a prefill engine is another", backend.Faults{Another: true}, backend.Faults{}, 200, 200},
		{"a decode engine rejects", backend.Faults{}, backend.Faults{Shed: true}, 200, 200},
		{"a decode engine breaks streams off", backend.Faults{}, backend.Faults{BreakAfter: 3}, 0, 200},
		{"a decode engine fails", backend.Faults{}, backend.Faults{Fail: true}, 500, 200},
		{"a decode engine gives no proof", backend.Faults{}, backend.Faults{Unsealed: true}, 502, 200},
	}
	for _, c := range cases {
		for path, want := range map[string]int{"/draft/1": c.draft, "/digest/1": c.resumed} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				inWorld(t, func(w *world) {
					w.prefill[0].SetFaults(c.prefill)
					w.decode[0].SetFaults(c.decode)
					for n := range 4 {
						id := fmt.Sprint("x", n)
						got := w.ask(stream(path, id))
						checkStream(t, w, id, got, want, path == "/digest/1")
					}
				})
			})
		}
	}
}

func checkStream(t *testing.T, w *world, id string, got answer, want int, resumable bool) {
	t.Helper()
	if n := runs(w.decode, id); n > 1 && !resumable {
		t.Errorf("%s ran %d times", id, n)
	}
	if got.Code == http.StatusOK && !got.broken {
		if got.Body.String() != events(1, 10) {
			t.Errorf("%s got a stream that is not whole: %q", id, got.Body)
		}
		return
	}
	if want == http.StatusOK {
		t.Errorf("%s was not served, got status %d, broken %v; %v", id, got.Code, got.broken, w.story(id))
	}
	if want == 0 && !got.broken || want > 0 && got.Code != want {
		t.Errorf("unexpected end of %s, got status %d, broken %v instead of %d", id, got.Code, got.broken, want)
	}
}
