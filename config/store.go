package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"

	"teaselgate/platform"
	"teaselgate/rule"
)

// parallelReads is the number of parts that are read at once.
const parallelReads = 4

// pointer is the object that names the newest head. It is small, since it is read every few seconds.
type pointer struct {
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
	Head     string `json:"head"` // name of the stored head among the parts
}

// readPointer returns the pointer and its object; both are empty before the first revision.
func readPointer(ctx context.Context, p *platform.Client) (platform.Object, pointer, error) {
	o, err := p.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, pointer{}, nil
	}
	if err != nil {
		return o, pointer{}, err
	}
	at, err := decodePointer(o)
	return o, at, err
}

func decodePointer(o platform.Object) (pointer, error) {
	var at pointer
	if len(o.Data) == 0 {
		return at, nil
	}
	if err := json.Unmarshal(o.Data, &at); err != nil {
		return at, invalid.Wrap(err, "config: unable to decode the pointer to the head")
	}
	return at, nil
}

// readHead returns the newest head and the object that points to it.
func readHead(ctx context.Context, p *platform.Client) (platform.Object, Head, error) {
	o, at, err := readPointer(ctx, p)
	if err != nil {
		return o, Head{}, err
	}
	head, err := at.follow(ctx, p)
	return o, head, err
}

// follow reads the head that the pointer names.
func (at pointer) follow(ctx context.Context, p *platform.Client) (Head, error) {
	var h Head
	if at.Revision == 0 {
		return h, nil
	}
	stored, err := fromPlatform(p)(ctx, at.Head)
	if err != nil {
		return h, err
	}
	text, err := stored.text(at.Head)
	if err != nil {
		return h, err
	}
	if err := json.Unmarshal(text, &h); err != nil {
		return h, invalid.Wrap(err, "config: unable to decode the head")
	}
	if n := len(h.Parts); n == 0 || n&(n-1) != 0 || h.Revision != at.Revision || h.Change != at.Change {
		return h, invalid.New("config: the head of revision %d is not what the pointer to it says", at.Revision)
	}
	return h, nil
}

// headPart encodes a head as it is stored.
func headPart(h Head, writer string) (part, error) {
	text, err := json.Marshal(h)
	if err != nil {
		return part{}, fmt.Errorf("config: unable to encode the head: %w", err)
	}
	return part{partName(text, writer), text}, nil
}

// fetch reads one part by name.
type fetch func(ctx context.Context, name string) (StoredPart, error)

// fromPlatform reads parts from the platform.
func fromPlatform(p *platform.Client) fetch {
	return func(ctx context.Context, name string) (StoredPart, error) {
		var part StoredPart
		o, err := p.Get(ctx, PartKind, name)
		if errors.Is(err, platform.ErrNotFound) {
			return part, stale.Wrap(err, "config: part %s is gone", name)
		}
		if err != nil {
			return part, err
		}
		if err := json.Unmarshal(o.Data, &part); err != nil {
			return part, fmt.Errorf("config: unable to decode part %s: %w", name, err)
		}
		return part, nil
	}
}

// load makes the revision that a head names; only parts that the old revision lacks are read.
func load(ctx context.Context, head Head, old *Revision, read fetch) (*Revision, error) {
	if head.Revision == 0 {
		return empty(), nil
	}
	buckets, missing := reuse(head, old)
	if err := readParts(ctx, head.Parts, missing, buckets, read); err != nil {
		return nil, err
	}
	set, problems := rule.Build(slices.Concat(buckets...))
	if len(problems) > 0 {
		return nil, invalid.New("config: revision %d breaks the rules: %s", head.Revision, describe(problems))
	}
	return &Revision{Number: head.Revision, Rules: set, head: head}, nil
}

// reuse takes over the parts that the old revision has and lists the others.
func reuse(head Head, old *Revision) (buckets [][]rule.Line, missing []int) {
	buckets = make([][]rule.Line, len(head.Parts))
	var have [][]rule.Line
	if old != nil && len(old.head.Parts) == len(head.Parts) {
		have = partition(old.Rules.Lines(), len(head.Parts))
	}
	for i, name := range head.Parts {
		if have != nil && old.head.Parts[i] == name {
			buckets[i] = have[i]
			continue
		}
		missing = append(missing, i)
	}
	return buckets, missing
}

func readParts(ctx context.Context, names []string, missing []int, buckets [][]rule.Line, read fetch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	work := make(chan int)
	var readers sync.WaitGroup
	for range min(parallelReads, len(missing)) {
		readers.Go(func() {
			for i := range work {
				lines, err := readPart(ctx, names[i], i, len(names), read)
				if err != nil {
					cancel(err)
				}
				buckets[i] = lines
			}
		})
	}
	for _, i := range missing {
		work <- i
	}
	close(work)
	readers.Wait()
	return context.Cause(ctx)
}

func readPart(ctx context.Context, name string, bucket, count int, read fetch) ([]rule.Line, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	p, err := read(ctx, name)
	if err != nil {
		return nil, err
	}
	lines, err := p.lines(name)
	if err != nil {
		return nil, err
	}
	for _, l := range lines {
		if bucketOf(l, count) != bucket {
			return nil, invalid.New("config: part %s holds %s of another part", name, l.ID())
		}
	}
	return lines, nil
}

// readCurrent reads the newest revision from the platform.
func readCurrent(ctx context.Context, p *platform.Client) (platform.Object, *Revision, error) {
	o, head, err := readHead(ctx, p)
	if err != nil {
		return o, nil, err
	}
	r, err := load(ctx, head, nil, fromPlatform(p))
	return o, r, err
}
