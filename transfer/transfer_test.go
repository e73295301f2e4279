package transfer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/standin/bubble"
)

// routesText returns a document with a version and many routes, of some 200 bytes each.
func routesText(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for n := range routes {
		fmt.Fprintf(&b, `{"name":"route-%06d","hostname":"h%06d.example","pathPrefix":"/p%06x/","routeType":"idempotent",`+
			`"timeoutMs":2500,"targetLatencyMs":150,"priority":1,"service":"s","maxAttempts":2,"sticky":false,"resumable":false},`,
			n, n, n*7919)
	}
	b.WriteString(`{}]}`)
	return []byte(b.String())
}

// noParts is an instance without documents.
func noParts(PartID) []byte { return nil }

func TestPartsMakeTheDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 1, 50_000).Draw(t, "data")
		d := NewDocument(data)
		a, err := NewAssembly(d.Outline(), noParts)
		if err != nil {
			t.Fatal(err)
		}
		for n := range d.Outline().Len() {
			a.Add(d.Part(d.Outline().ID(n)))
		}
		_, got, err := a.Document()
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("unexpected document, got %d bytes and the error %v instead of %d bytes", len(got), err, len(data))
		}
	})
}

// What is fetched must be proportional to the change.
func TestSmallChangeNeedsFewParts(t *testing.T) {
	for _, routes := range []int{20, 1400, 4200, 20_000} {
		old, changed := NewDocument(routesText(7, routes)), NewDocument(routesText(8, routes))
		a, err := NewAssembly(changed.Outline(), old.Part)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(a.missing); n > 2 {
			t.Errorf("a new version number of %d routes needs %d of %d parts", routes, n, changed.Outline().Len())
		}
		t.Logf("%d routes: %d bytes in %d parts, the outline has %d bytes, %d parts changed",
			routes, changed.Outline().Size, changed.Outline().Len(), len(changed.Outline().IDs), len(a.missing))
	}
}

func TestOutlinesOfNoDocumentAreRejected(t *testing.T) {
	valid := NewDocument(routesText(1, 20)).Outline()
	tests := map[string]func(*Outline){
		"empty":               func(o *Outline) { *o = Outline{} },
		"negative size":       func(o *Outline) { o.Size = -1 },
		"too large":           func(o *Outline) { o.Size = maxDocument + 1 },
		"half an id":          func(o *Outline) { o.IDs = o.IDs[:len(o.IDs)-1] },
		"no parts":            func(o *Outline) { o.IDs = nil },
		"more parts than fit": func(o *Outline) { o.IDs = make([]byte, idBytes*(o.Size/minPart+2)) },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			o := valid
			spoil(&o)
			if _, err := NewAssembly(o, noParts); !errors.Is(err, ErrMalformed) {
				t.Errorf("unexpected error, got %v instead of %v", err, ErrMalformed)
			}
		})
	}
}

func TestDocumentOfOtherContentIsRejected(t *testing.T) {
	d := NewDocument(routesText(1, 20))
	o := d.Outline()
	o.Sum[0]++
	a, err := NewAssembly(o, d.Part)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Document(); !errors.Is(err, ErrDamaged) {
		t.Errorf("unexpected error, got %v instead of %v", err, ErrDamaged)
	}
}

// askFunc answers requests for parts in place of other instances.
type askFunc func(address string, args Args) (Reply, error)

// runFetch fetches a document in fake time from sources, and returns it with the time that it took.
func runFetch(t *testing.T, d *Document, sources []string, ask askFunc) (data []byte, took time.Duration) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := NewFetch(d.Outline())
		f.Offer, f.Self = NewOffer(), "self"
		f.Ask = func(ctx context.Context, address string, args Args) (Reply, error) {
			reply, err := ask(address, args)
			if errors.Is(err, errSilent) {
				<-ctx.Done()
				return Reply{}, ctx.Err()
			}
			time.Sleep(time.Millisecond)
			return reply, err
		}
		for _, s := range sources {
			f.Add(s)
		}
		start := time.Now()
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		var err error
		if _, data, err = f.Run(ctx); err != nil {
			t.Errorf("unexpected error of the fetch: %v", err)
		}
		took = time.Since(start)
	})
	return data, took
}

var errSilent = errors.New("no reply")

// offerOf returns an offer of a document.
func offerOf(d *Document) *Offer {
	o := NewOffer()
	o.SetWhole(d)
	return o
}

func TestFetchGoesOnAtOtherSourcesWhenOneFailsHalfway(t *testing.T) {
	text := routesText(1, 4200)
	d := NewDocument(text)
	good := offerOf(d)
	asked := 0
	faults := map[string]askFunc{
		"silent": func(string, Args) (Reply, error) { return Reply{}, errSilent },
		"gone":   func(string, Args) (Reply, error) { return Reply{}, errors.New("connection refused") },
		"damaged parts": func(string, Args) (Reply, error) {
			return Reply{Result: Delivered, Parts: [][]byte{[]byte("damaged")}}, nil
		},
		"restarted": func(string, Args) (Reply, error) { return Reply{Result: Unknown}, nil },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			asked = 0
			got, took := runFetch(t, d, []string{"bad", "good"}, func(address string, args Args) (Reply, error) {
				if address == "good" {
					return good.Give(args), nil
				}
				if asked++; asked > 20 {
					return fault(address, args)
				}
				return good.Give(args), nil
			})
			if !bytes.Equal(got, text) {
				t.Error("unexpected content of the document")
			}
			if bound := 2 * time.Second; took > bound {
				t.Errorf("the fetch took %v instead of at most %v", took, bound)
			}
		})
	}
}

func TestFetchFindsSourcesThroughABusyOne(t *testing.T) {
	text := routesText(1, 1400)
	d := NewDocument(text)
	other := offerOf(d)
	got, _ := runFetch(t, d, []string{"busy"}, func(address string, args Args) (Reply, error) {
		if address == "busy" {
			return Reply{Result: Busy, Others: []string{"self", "other"}}, nil
		}
		if address != "other" {
			return Reply{}, fmt.Errorf("unexpected request to %s", address)
		}
		return other.Give(args), nil
	})
	if !bytes.Equal(got, text) {
		t.Error("unexpected content of the document")
	}
}

func TestRepliesHaveNoMoreThanOnePieceOfBulk(t *testing.T) {
	d := NewDocument(routesText(1, 4200))
	o := offerOf(d)
	wanted := bytes.Repeat([]byte{0xff}, (d.Outline().Len()+7)/8)
	for range 1000 {
		size := 0
		for _, part := range o.Give(Args{Address: "a", Sum: d.Outline().Sum, Wanted: wanted}).Parts {
			size += len(part)
		}
		if size == 0 || size > replyBytes {
			t.Fatalf("unexpected %d bytes of parts in a reply", size)
		}
	}
	if r := o.Give(Args{Address: "a", Sum: d.Outline().Sum, Wanted: []byte{1}}); len(r.Parts) != 1 {
		t.Errorf("unexpected reply to a short list of wanted parts: %d parts", len(r.Parts))
	}
	if r := o.Give(Args{Address: "a", Sum: Sum{1}}); r.Result != Unknown {
		t.Errorf("unexpected result %v for another document", r.Result)
	}
}

func TestUploadsAreBoundedAndEndByTime(t *testing.T) {
	var u Uploads
	now := time.Unix(1_800_000_000, 0)
	for n := range maxUploads {
		if !u.Start(fmt.Sprint(n), now) {
			t.Fatalf("no upload to instance %d", n)
		}
	}
	if u.Start("late", now) {
		t.Error("unexpected upload to one instance too many")
	}
	if !u.Start("0", now.Add(uploadTimeout/2)) || u.Start("late", now.Add(uploadTimeout)) {
		t.Error("unexpected end of an upload that goes on")
	}
	if !u.Start("late", now.Add(uploadTimeout+1)) {
		t.Error("no upload after others have ended")
	}
	if got := u.Receivers("late"); !slices.Equal(got, []string{"0"}) {
		t.Errorf("unexpected holders %v", got)
	}
}

func TestPlanPrefersNearSourcesThatGaveParts(t *testing.T) {
	p := NewPlan()
	p.Random = rand.New(rand.NewPCG(1, 2)).IntN
	now := time.Unix(1_800_000_000, 0)
	p.Add("far", false)
	p.Add("near1", true)
	p.Add("near2", true)
	first, _ := p.Pick(now)
	p.Report(first, Delivered, now)
	second, _ := p.Pick(now)
	if first == "far" || second != first {
		t.Errorf("unexpected sources %s and %s", first, second)
	}
	if third, _ := p.Pick(now); third == "far" || third == first {
		t.Errorf("unexpected source %s while one is asked", third)
	}
	if address, ok := p.Pick(now.Add(nearPreference / 2)); ok {
		t.Errorf("unexpected source %s while near ones give parts", address)
	}
	p.Report(second, Empty, now)
	if address, _ := p.Pick(now); address != "far" {
		t.Errorf("unexpected source %q although near ones have nothing new", address)
	}
}

// An instance must not wait for ever for a document whose holders are gone, since others may have an older one.
func TestFetchEndsWhenNobodyHasTheDocument(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := NewFetch(NewDocument(routesText(1, 20)).Outline())
		f.Offer, f.Self = NewOffer(), "self"
		f.Search = func() string { return "other" }
		f.Ask = func(context.Context, string, Args) (Reply, error) { return Reply{Result: Unknown}, nil }
		f.Add("restarted")
		start := time.Now()
		if _, _, err := f.Run(t.Context()); !errors.Is(err, ErrStalled) {
			t.Errorf("unexpected error, got %v instead of %v", err, ErrStalled)
		}
		if took := time.Since(start); took > stallLimit+time.Second {
			t.Errorf("the fetch ended after %v", took)
		}
	})
}
