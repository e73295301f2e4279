package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// requestCrash returns a crash at a time in milliseconds of a request that was sent 10 ms before.
func requestCrash(ms int, server, name string) Crash {
	c := crashAt(ms, server, "x", "")
	c.Parts = []string{RequestPart(c.Caller.Account, name, nil)}
	c.Sent = c.At.Add(-10 * time.Millisecond)
	return c
}

// begun marks a crash as one in the midst of the answer.
func begun(c Crash) Crash {
	c.Begun = true
	return c
}

// afterAnswers states how often the request was answered between its crashes.
func afterAnswers(c Crash, n int) Crash {
	c.Answers = n
	return c
}

// served marks a crash of a server that had answered the request before.
func served(c Crash) Crash {
	c.Served = true
	return c
}

// Each case is a load under which servers crash, and the requests that may be refused after it.
func TestRequestBlocks(t *testing.T) {
	cases := []struct {
		name      string
		crashes   []Crash
		successes map[string]int // newest success in milliseconds, by request
		want      []string
	}{
		{"one crash", []Crash{requestCrash(0, "s1", "a")}, nil, nil},
		{"two servers one after the other", []Crash{requestCrash(0, "s1", "a"), requestCrash(30, "s2", "a")}, nil, []string{"a"}},
		{"several copies end one server", []Crash{requestCrash(0, "s1", "a"), requestCrash(20, "s1", "a")}, nil, nil},
		{
			"answered since",
			[]Crash{requestCrash(0, "s1", "a"), requestCrash(30, "s2", "a")},
			map[string]int{"a": 40},
			nil,
		},
		{
			"a popular lookup at two servers of a rack that is lost",
			[]Crash{requestCrash(0, "s1", "a"), requestCrash(5, "s2", "a")},
			map[string]int{"a": -100},
			nil,
		},
		{
			"a popular lookup while servers crash, answered in between",
			[]Crash{
				afterAnswers(requestCrash(0, "s1", "a"), 90), afterAnswers(requestCrash(2000, "s2", "a"), 20),
				afterAnswers(requestCrash(4000, "s3", "a"), 20), afterAnswers(requestCrash(6000, "s4", "a"), 20),
			},
			map[string]int{"a": 5900},
			nil,
		},
		{
			"another request beside it at both servers",
			[]Crash{requestCrash(0, "s1", "a"), requestCrash(1, "s1", "b"), requestCrash(30, "s2", "a"), requestCrash(31, "s2", "b")},
			nil, nil,
		},
		{
			"another request beside it at two of three servers",
			[]Crash{
				requestCrash(0, "s1", "a"), requestCrash(1, "s1", "b"), requestCrash(30, "s2", "a"), requestCrash(31, "s2", "b"),
				requestCrash(900, "s3", "a"),
			},
			nil,
			[]string{"a"},
		},
		{
			"two requests at the same three servers",
			[]Crash{
				requestCrash(0, "s1", "a"), requestCrash(1, "s1", "b"), requestCrash(30, "s2", "a"), requestCrash(31, "s2", "b"),
				requestCrash(900, "s3", "a"), requestCrash(901, "s3", "b"),
			},
			nil,
			[]string{"a", "b"},
		},
		{
			"a popular lookup beside it at all servers",
			[]Crash{
				requestCrash(0, "s1", "a"), requestCrash(1, "s1", "b"), requestCrash(30, "s2", "a"), requestCrash(31, "s2", "b"),
			},
			map[string]int{"b": -100},
			[]string{"a"},
		},
		{
			"a popular lookup beside two others at three servers",
			[]Crash{
				requestCrash(0, "s1", "a"), requestCrash(1, "s1", "b"), requestCrash(300, "s2", "a"), requestCrash(301, "s2", "b"),
				requestCrash(900, "s3", "a"), requestCrash(901, "s3", "b"),
			},
			map[string]int{"b": -100},
			[]string{"a"},
		},
		{
			"two that began beside each other, each alone later",
			[]Crash{
				requestCrash(0, "s1", "a"), requestCrash(1, "s1", "b"), requestCrash(30, "s2", "a"), requestCrash(40, "s3", "b"),
			},
			nil,
			[]string{"a", "b"},
		},
		{
			"two in the midst of answers",
			[]Crash{begun(requestCrash(0, "s1", "a")), begun(requestCrash(900, "s2", "a"))},
			nil, nil,
		},
		{
			"three in the midst of answers",
			[]Crash{begun(requestCrash(0, "s1", "a")), begun(requestCrash(900, "s2", "a")), begun(requestCrash(1800, "s3", "a"))},
			nil,
			[]string{"a"},
		},
		{
			"some servers crash and others answer",
			[]Crash{
				requestCrash(0, "s1", "a"), afterAnswers(requestCrash(900, "s2", "a"), 2), afterAnswers(requestCrash(1800, "s3", "a"), 1),
			},
			map[string]int{"a": 2000},
			[]string{"a"},
		},
		{
			"crashes of servers that had answered it",
			[]Crash{served(requestCrash(0, "s1", "a")), served(requestCrash(900, "s2", "a")), served(requestCrash(1800, "s3", "a"))},
			map[string]int{"a": 2000},
			nil,
		},
		{
			"answered often between crashes",
			[]Crash{
				afterAnswers(requestCrash(0, "s1", "a"), 50), afterAnswers(requestCrash(900, "s2", "a"), 40),
				afterAnswers(requestCrash(1800, "s3", "a"), 30),
			},
			map[string]int{"a": 2000},
			nil,
		},
	}
	for _, c := range cases {
		successes, names := make(map[string]time.Time), make(map[string]string)
		for _, name := range []string{"a", "b"} {
			part := requestCrash(0, "", name).Parts[0]
			names[part] = name
			if ms, ok := c.successes[name]; ok {
				successes[part] = time.UnixMilli(int64(ms))
			}
		}
		var got []string
		for _, b := range findBlocks(c.crashes, successes) {
			got = append(got, names[b.key()])
		}
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: blocks on %q instead of %q", c.name, got, c.want)
		}
	}
}

// A request is the same only with the same client account, target and body.
func TestRequestPartTellsRequestsApart(t *testing.T) {
	same := RequestPart("x", "GET a/b", []byte("body"))
	if same != RequestPart("x", "GET a/b", []byte("body")) {
		t.Error("repeats differ")
	}
	for _, other := range []string{
		RequestPart("y", "GET a/b", []byte("body")),
		RequestPart("x", "PUT a/b", []byte("body")), RequestPart("x", "GET a/bb", []byte("ody")),
		RequestPart("x", "GET a/b", nil),
	} {
		if other == same {
			t.Error("different requests have the same part")
		}
	}
}

// An answer after its term frees a request that only some servers answer.
func TestAnswerAfterTheTermFreesAPartialBlock(t *testing.T) {
	crashes := []Crash{requestCrash(0, "s1", "a"), requestCrash(900, "s2", "a"), requestCrash(1800, "s3", "a")}
	part := crashes[0].Parts[0]
	successes := map[string]time.Time{part: time.UnixMilli(2000)}
	blocks := findBlocks(crashes, successes)
	if len(blocks) != 1 {
		t.Fatalf("%d blocks instead of 1", len(blocks))
	}
	successes[part] = blocks[0].until.Add(time.Second)
	if n := len(findBlocks(crashes, successes)); n != 0 {
		t.Errorf("%d blocks after the answer", n)
	}
}

// What is stored and exchanged is the whole evidence.
func TestCrashOutlivesItsWayThroughStoreAndPeers(t *testing.T) {
	now := time.UnixMilli(10_000)
	c := begun(afterAnswers(requestCrash(4000, "s1", "a"), 7))
	l := NewList()
	l.Now = func() time.Time { return now }
	l.merge([]Crash{c}, nil, false)
	text, err := json.Marshal(l.stored())
	if err != nil {
		t.Fatal(err)
	}
	var stored Stored
	if err := json.Unmarshal(text, &stored); err != nil {
		t.Fatal(err)
	}
	crashes, _ := stored.evidence(now).local(now)
	if len(crashes) != 1 {
		t.Fatalf("%d crashes", len(crashes))
	}
	got := crashes[0]
	if !got.At.Equal(c.At) || !got.Sent.Equal(c.Sent) || got.Answers != 7 || !got.Begun || got.Parts[0] != c.Parts[0] {
		t.Errorf("%+v instead of %+v", got, c)
	}
}

// Answers to a suspect are counted also while many other requests are answered.
func TestAnswersToASuspectAreCountedBesideManyOthers(t *testing.T) {
	now := time.UnixMilli(10_000)
	l := NewList()
	l.Now = func() time.Time { return now }
	for n := range maxBegan {
		l.ReportSuccess("", []string{RequestPart("x", "other", []byte{byte(n), byte(n >> 8)})})
	}
	c := requestCrash(10_000, "s1", "popular")
	l.ReportCrash(c)
	now = now.Add(successStep)
	for range 5 {
		l.ReportSuccess("", c.Parts)
	}
	if n := l.began.takeAnswers(c.Parts[0]); n != 5 {
		t.Errorf("%d of 5 answers were counted", n)
	}
}

// A request is refused whatever key of its client account it comes with, and others of the account are not.
func TestRequestBlockCoversTheKeysOfItsAccount(t *testing.T) {
	first, second := requestCrash(0, "s1", "a"), requestCrash(30, "s2", "a")
	first.Caller, second.Caller = callerOf("x/1"), callerOf("x/2")
	blocks := findBlocks([]Crash{first, second}, nil)
	if len(blocks) != 1 {
		t.Fatalf("%d blocks instead of 1", len(blocks))
	}
	if !blocks[0].covers(callerOf("x/3"), first.Parts) || blocks[0].covers(callerOf("x/1"), []string{"other"}) {
		t.Error("the block covers other requests than the one that crashed servers")
	}
}

// Crashes long ago do not count beside the answers of the last minute.
func TestOldCrashesOfAPopularRequestDoNotAddUp(t *testing.T) {
	crashes := make([]Crash, 30)
	for n := range crashes {
		crashes[n] = afterAnswers(requestCrash(60_000*n, fmt.Sprint("s", n), "a"), 20)
	}
	successes := map[string]time.Time{crashes[0].Parts[0]: crashes[29].At.Add(time.Second)}
	if n := len(findBlocks(crashes, successes)); n != 0 {
		t.Errorf("%d blocks", n)
	}
}

// The crash of a server counts as one that had answered the request if any instance has seen it do so.
func TestInstancesTellThatAServerHadAnsweredARequest(t *testing.T) {
	runFleet(t, 20, func(f *fakeFleet) {
		part := RequestPart("x", "popular", nil)
		f.list("i3").ReportSuccess("s1", []string{part})
		f.list("i7").ReportCrash(Crash{Request: "r", Server: "s1", Caller: callerOf("x"), Parts: []string{part}})
		time.Sleep(contactTime)
		for _, name := range f.names() {
			l := f.list(name)
			l.mu.Lock()
			if len(l.ledger.crashes) != 1 || !l.ledger.crashes[0].Served {
				t.Errorf("%s knows %v", name, l.ledger.crashes)
			}
			l.mu.Unlock()
		}
	})
}
