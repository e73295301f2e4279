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

// maxParallelPartReads is the number of parts that are read in parallel.
const maxParallelPartReads = 4

// headPointer is the content of the object that names the newest head. It is kept apart from the head because
// instances read it every few seconds.
type headPointer struct {
	Revision uint64 `json:"revision"` // number of the newest revision
	Change   string `json:"change"`   // ID of the change that made it
	Head     string `json:"head"`     // name of the part that holds the head
}

// readPointer reads the pointer and its object from the platform store; both are empty before the first revision.
func readPointer(ctx context.Context, p *platform.Client) (platform.Object, headPointer, error) {
	object, err := p.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, headPointer{}, nil
	}
	if err != nil {
		return object, headPointer{}, err
	}
	pointer, err := decodePointer(object)
	return object, pointer, err
}

// decodePointer decodes the data of the pointer's object.
func decodePointer(object platform.Object) (headPointer, error) {
	var pointer headPointer
	if len(object.Data) == 0 {
		return pointer, nil
	}
	if err := json.Unmarshal(object.Data, &pointer); err != nil {
		return pointer, invalid.Wrap(err, "config: unable to decode the pointer to the head")
	}
	return pointer, nil
}

// readHead reads the newest head and the object that points to it.
func readHead(ctx context.Context, p *platform.Client) (platform.Object, Head, error) {
	object, pointer, err := readPointer(ctx, p)
	if err != nil {
		return object, Head{}, err
	}
	head, err := pointer.readHead(ctx, p)
	return object, head, err
}

// readHead reads the head that the pointer names and checks that it matches the pointer.
func (pointer headPointer) readHead(ctx context.Context, p *platform.Client) (Head, error) {
	var head Head
	if pointer.Revision == 0 {
		return head, nil
	}
	stored, err := newPlatformPartReader(p)(ctx, pointer.Head)
	if err != nil {
		return head, err
	}
	text, err := stored.verifiedText(pointer.Head)
	if err != nil {
		return head, err
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return head, invalid.Wrap(err, "config: unable to decode the head")
	}
	if n := len(head.Parts); n == 0 || n&(n-1) != 0 || head.Revision != pointer.Revision || head.Change != pointer.Change {
		return head, invalid.New("config: the head of revision %d does not match its pointer", pointer.Revision)
	}
	return head, nil
}

// encodeHead returns a head as a part whose name contains writer.
func encodeHead(head Head, writer string) (encodedPart, error) {
	text, err := json.Marshal(head)
	if err != nil {
		return encodedPart{}, fmt.Errorf("config: unable to encode the head: %w", err)
	}
	return encodedPart{partName(text, writer), text}, nil
}

// partReader is a function that reads the part with the given name.
type partReader func(ctx context.Context, name string) (StoredPart, error)

// newPlatformPartReader returns a reader of the parts in the platform store.
func newPlatformPartReader(p *platform.Client) partReader {
	return func(ctx context.Context, name string) (StoredPart, error) {
		var part StoredPart
		object, err := p.Get(ctx, PartKind, name)
		if errors.Is(err, platform.ErrNotFound) {
			return part, stale.Wrap(err, "config: part %s no longer exists", name)
		}
		if err != nil {
			return part, err
		}
		if err := json.Unmarshal(object.Data, &part); err != nil {
			return part, fmt.Errorf("config: unable to decode part %s: %w", name, err)
		}
		return part, nil
	}
}

// loadRevision loads the revision that a head describes without verifying its steps. It reads only the parts that the
// old revision, which may be nil, does not have.
func loadRevision(ctx context.Context, head Head, old *Revision, read partReader) (*Revision, error) {
	if head.Revision == 0 {
		return emptyRevision(), nil
	}
	buckets, missing := reuseBuckets(head, old)
	if err := readParts(ctx, head.Parts, missing, buckets, read); err != nil {
		return nil, err
	}
	set, problems := rule.Build(slices.Concat(buckets...))
	if len(problems) > 0 {
		return nil, invalid.New("config: revision %d has invalid rules: %s", head.Revision, joinProblems(problems))
	}
	return &Revision{Number: head.Revision, Rules: set, head: head}, nil
}

// reuseBuckets returns the buckets whose part the old revision has too, and the indexes of the others.
func reuseBuckets(head Head, old *Revision) (buckets [][]rule.Line, missing []int) {
	buckets = make([][]rule.Line, len(head.Parts))
	var oldBuckets [][]rule.Line
	if old != nil && len(old.head.Parts) == len(head.Parts) {
		oldBuckets = splitIntoBuckets(old.Rules.Lines(), len(head.Parts))
	}
	for i, name := range head.Parts {
		if oldBuckets != nil && old.head.Parts[i] == name {
			buckets[i] = oldBuckets[i]
			continue
		}
		missing = append(missing, i)
	}
	return buckets, missing
}

// readParts reads the missing parts in parallel and stores their lines in buckets. It returns the first error.
func readParts(ctx context.Context, names []string, missing []int, buckets [][]rule.Line, read partReader) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	indexes := make(chan int)
	var readers sync.WaitGroup
	for range min(maxParallelPartReads, len(missing)) {
		readers.Go(func() {
			for i := range indexes {
				lines, err := readPart(ctx, names[i], i, len(names), read)
				if err != nil {
					cancel(err)
				}
				buckets[i] = lines
			}
		})
	}
	for _, i := range missing {
		indexes <- i
	}
	close(indexes)
	readers.Wait()
	return context.Cause(ctx)
}

// readPart reads one part and checks that its rules belong to the bucket.
func readPart(ctx context.Context, name string, bucket, count int, read partReader) ([]rule.Line, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	stored, err := read(ctx, name)
	if err != nil {
		return nil, err
	}
	lines, err := stored.decodeLines(name)
	if err != nil {
		return nil, err
	}
	for _, l := range lines {
		if bucketIndex(l, count) != bucket {
			return nil, invalid.New("config: part %s contains %s, which belongs to another bucket", name, l.ID())
		}
	}
	return lines, nil
}

// readCurrent reads the newest revision from the platform store, and the object that points to its head.
func readCurrent(ctx context.Context, p *platform.Client) (platform.Object, *Revision, error) {
	object, head, err := readHead(ctx, p)
	if err != nil {
		return object, nil, err
	}
	revision, err := loadRevision(ctx, head, nil, newPlatformPartReader(p))
	return object, revision, err
}
