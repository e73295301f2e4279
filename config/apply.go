package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"teaselgate/platform"
)

// Apply makes a rules text the newest revision and returns its number.
func Apply(ctx context.Context, p *platform.Client, text, change string) (uint64, error) {
	part := digest(text)
	_, err := p.Create(ctx, PartKind, part, Part{Text: text})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return 0, refused.Wrap(err, "config: unable to store the rules")
	}
	old, head, err := readHead(ctx, p)
	if err != nil {
		return 0, refused.Wrap(err, "config: unable to read the current revision")
	}
	if len(head.Parts) == 1 && head.Parts[0] == part {
		return head.Revision, nil
	}
	next := Head{Revision: head.Revision + 1, Change: change, Parts: []string{part}}
	_, err = p.Update(ctx, HeadKind, HeadName, old.Version, next)
	switch {
	case err == nil:
		return next.Revision, nil
	case errors.Is(err, platform.ErrConflict):
		return 0, refused.Wrap(err, "config: another change was accepted meanwhile")
	case errors.Is(err, platform.ErrUnavailable):
		return 0, refused.Wrap(err, "config: the platform did not take the change")
	default:
		return 0, unknown.Wrap(err, "config: unknown whether the change was accepted, run apply again")
	}
}

// readHead returns the head and its object; both are empty before the first revision.
func readHead(ctx context.Context, p *platform.Client) (platform.Object, Head, error) {
	o, err := p.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, Head{}, nil
	}
	if err != nil {
		return o, Head{}, err
	}
	var h Head
	if err := json.Unmarshal(o.Data, &h); err != nil {
		return o, h, fmt.Errorf("config: unable to decode the head: %w", err)
	}
	return o, h, nil
}
