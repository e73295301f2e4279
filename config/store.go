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

// readHead returns the head and its object; both are empty before the first revision.
func readHead(ctx context.Context, p *platform.Client) (platform.Object, Head, error) {
	o, err := p.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, Head{}, nil
	}
	if err != nil {
		return o, Head{}, err
	}
	h, err := decodeHead(o)
	return o, h, err
}

func decodeHead(o platform.Object) (Head, error) {
	var h Head
	if err := json.Unmarshal(o.Data, &h); err != nil {
		return h, invalid.Wrap(err, "config: unable to decode the head")
	}
	if n := len(h.Parts); n == 0 || n&(n-1) != 0 {
		return h, invalid.New("config: the head names %d parts, which is no power of two", n)
	}
	return h, nil
}

// fetch reads one part by name.
type fetch func(ctx context.Context, name string) (Part, error)

// fromPlatform reads parts from the platform.
func fromPlatform(p *platform.Client) fetch {
	return func(ctx context.Context, name string) (Part, error) {
		var part Part
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
