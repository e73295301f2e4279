package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// callerOf returns the caller with a key, named as ACCOUNT or ACCOUNT/KEY.
func callerOf(name string) Caller {
	account, key, _ := strings.Cut(name, "/")
	return Caller{account, key}
}

// crashAt returns a crash of a request, at a time in milliseconds, with parts separated by spaces.
func crashAt(ms int, server, account, parts string) Crash {
	return Crash{
		Request: fmt.Sprint("r", ms, parts), Server: server, Caller: callerOf(account), Parts: strings.Fields(parts),
		At: time.UnixMilli(int64(ms)),
	}
}

// Each case is a load under which engines crash, and the parts that may be refused after it.
func TestBlocks(t *testing.T) {
	cases := []struct {
		name      string
		crashes   []Crash
		successes map[string]int // newest success in milliseconds, by part
		want      []string       // keys of the blocks
	}{
		{"one crash blocks nothing", []Crash{crashAt(0, "d1", "x", "a")}, nil, nil},
		{
			"requests with one part crash two engines",
			[]Crash{crashAt(0, "d1", "x", "a1 dead"), crashAt(300, "d2", "x", "a2 dead")},
			nil,
			[]string{"dead"},
		},
		{
			"crashes that don't tell two parts apart block only both together",
			[]Crash{crashAt(0, "d1", "x", "a dead"), crashAt(300, "d2", "x", "a dead")},
			nil,
			[]string{"a dead"},
		},
		{
			"a part of which an answer was begun since is no cause",
			[]Crash{crashAt(0, "d1", "x", "a dead"), crashAt(300, "d2", "x", "a dead")},
			map[string]int{"a": 301},
			[]string{"dead"},
		},
		{
			"two deadly parts whose requests share a part of sound requests",
			[]Crash{
				crashAt(0, "d1", "x", "a dead1"), crashAt(300, "d2", "x", "a dead2"), crashAt(600, "d3", "x", "a dead1"),
				crashAt(900, "d4", "x", "a dead2"),
			},
			map[string]int{"a": -500},
			[]string{"dead1", "dead2"},
		},
		{
			"sound requests that had not begun when an engine crashed",
			[]Crash{
				crashAt(0, "d1", "x", "a dead"), crashAt(1, "d1", "y", "b"), crashAt(300, "d2", "x", "a dead"),
				crashAt(301, "d2", "y", "c"), crashAt(302, "d2", "x", "a"),
			},
			nil,
			[]string{"dead"},
		},
		{
			"many engines are lost at once under one popular part",
			[]Crash{
				crashAt(0, "d1", "x", "a"), crashAt(5, "d2", "y", "a"), crashAt(20, "d3", "x", "a"), crashAt(40, "d4", "z", "a"),
				crashAt(90, "d5", "x", "a"),
			},
			nil, nil,
		},
		{
			"one request is sent to one engine after the other, shortly",
			[]Crash{
				{Request: "r", Server: "d1", Caller: callerOf("x"), Parts: []string{"a"}, At: time.UnixMilli(0)},
				{Request: "r", Server: "d2", Caller: callerOf("x"), Parts: []string{"a"}, At: time.UnixMilli(20)},
			},
			nil,
			[]string{"a"},
		},
		{
			"engines go down one after the other while others serve the same part",
			[]Crash{crashAt(0, "d1", "x", "a"), crashAt(2000, "d2", "x", "a"), crashAt(4000, "d3", "x", "a")},
			map[string]int{"a": 3900},
			nil,
		},
		{
			"a part that was sound turns deadly",
			[]Crash{
				crashAt(0, "d1", "x", "a"), crashAt(300, "d2", "x", "a"), crashAt(600, "d3", "x", "a"), crashAt(900, "d4", "x", "a"),
			},
			map[string]int{"a": -1000},
			[]string{"a"},
		},
		{
			"a part that was sound long ago counts as unknown",
			[]Crash{crashAt(60_000, "d1", "x", "a"), crashAt(60_300, "d2", "x", "a")},
			map[string]int{"a": 0},
			[]string{"a"},
		},
	}
	for _, c := range cases {
		successes := make(map[string]time.Time)
		for part, ms := range c.successes {
			successes[part] = time.UnixMilli(int64(ms))
		}
		var got []string
		for _, b := range findBlocks(c.crashes, successes) {
			got = append(got, b.key())
		}
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: blocks on %q instead of %q", c.name, got, c.want)
		}
	}
}

func TestBlockCoversTheCallersWhoseRequestsCrashedEngines(t *testing.T) {
	crashes := []Crash{crashAt(0, "d1", "x", "dead"), crashAt(300, "d2", "y", "dead")}
	check := func(want ...bool) {
		t.Helper()
		b := findBlocks(crashes, nil)[0]
		for n, account := range []string{"x", "y", "z", "other"} {
			if got := b.covers(callerOf(account), []string{"dead", "own"}); got != want[n] {
				t.Errorf("%d crashes, account %s: refused %v instead of %v", len(crashes), account, got, want[n])
			}
		}
	}
	check(true, true, false, false)
	crashes = slices.Concat(crashes, []Crash{crashAt(600, "d3", "z", "dead")})
	check(true, true, true, true)
}

func TestTermGrowsWithTheCrashes(t *testing.T) {
	var crashes []Crash
	last := time.Duration(0)
	for n := range 9 {
		crashes = append(crashes, crashAt(300*n, fmt.Sprint("d", n), "x", "dead"))
		blocks := findBlocks(crashes, nil)
		if len(blocks) == 0 {
			continue
		}
		term := blocks[0].until.Sub(crashes[n].At)
		if n == 1 && term != firstTerm || n > 1 && term != min(2*last, maxTerm) {
			t.Errorf("%d crashes: refused for %v after %v", n+1, term, last)
		}
		last = term
	}
	if last != maxTerm {
		t.Errorf("the longest term is %v instead of %v", last, maxTerm)
	}
}

// An engine that ended under requests with two deadly parts counts for both.
func TestOneCrashCountsForTheTermsOfTwoParts(t *testing.T) {
	crashes := []Crash{
		crashAt(0, "d1", "x", "dead1"), crashAt(300, "d2", "x", "dead1"), crashAt(301, "d2", "x", "dead2"),
		crashAt(600, "d3", "x", "dead1"), crashAt(900, "d4", "x", "dead2"), crashAt(1200, "d5", "x", "dead2"),
	}
	blocks := findBlocks(crashes, nil)
	if len(blocks) != 2 {
		t.Fatalf("%d blocks instead of 2", len(blocks))
	}
	for _, b := range blocks {
		last := map[string]int64{"dead1": 600, "dead2": 1200}[b.key()]
		if term := b.until.Sub(time.UnixMilli(last)); term != 2*firstTerm {
			t.Errorf("%s: refused for %v", b.key(), term)
		}
	}
}

// Callers of one account with different keys.
func TestBlockCoversAnAccountAfterThreeOfItsCallers(t *testing.T) {
	crashes := []Crash{crashAt(0, "d1", "x/1", "dead"), crashAt(300, "d2", "x/2", "dead")}
	for n, want := range []bool{false, true} {
		b := findBlocks(crashes, nil)[0]
		if !b.covers(callerOf("x/2"), []string{"dead"}) || b.covers(callerOf("y/1"), []string{"dead"}) {
			t.Errorf("%d crashes: the block covers other callers than those of the crashes", len(crashes))
		}
		if got := b.covers(callerOf("x/9"), []string{"dead"}); got != want {
			t.Errorf("%d crashes: another caller of the account is refused: %v", len(crashes), got)
		}
		crashes = slices.Concat(crashes, []Crash{crashAt(600+n, "d3", "x/3", "dead")})
	}
}

// Whatever crashes the requests of two callers cause, and whatever parts they name, the requests of others pass, also those
// of the same account.
func TestNoCallerHasRequestsOfOthersRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		count := rapid.IntRange(0, 40).Draw(t, "crashes")
		crashes := make([]Crash, 0, count)
		for n := range count {
			account := rapid.SampledFrom([]string{"x/1", "x/2"}).Draw(t, "caller")
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 4, rapid.ID[string]).Draw(t, "parts")
			at := time.UnixMilli(int64(n * rapid.IntRange(1, 400).Draw(t, "pause")))
			crashes = append(crashes, Crash{Request: fmt.Sprint(n), Server: fmt.Sprint("d", n%5), Caller: callerOf(account), Parts: parts, At: at})
		}
		for _, b := range findBlocks(crashes, nil) {
			for _, other := range []string{"x/3", "victim/1", ""} {
				if b.covers(callerOf(other), names) {
					t.Fatalf("the requests of caller %q, which crashed nothing, are refused: %+v", other, b)
				}
			}
		}
	})
}
