package documents

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
)

// Conflict is the error of an operator whose document is based on another generation than the one
// in the object API; it carries both.
type Conflict struct {
	expected uint64
	yours    document.Document
	theirs   document.Document
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("documents.Apply %s: the change is based on generation %d, but generation %d is stored",
		c.yours.Service(), c.expected, c.theirs.Generation())
}

// Expected returns the generation that the refused change was based on.
func (c *Conflict) Expected() uint64 { return c.expected }

// Yours returns the refused document.
func (c *Conflict) Yours() document.Document { return c.yours }

// Theirs returns the stored document; it is the zero document where none is stored.
func (c *Conflict) Theirs() document.Document { return c.theirs }

// settleEvery is the pause before a lost answer is read back again.
const settleEvery = 100 * time.Millisecond

// Apply writes a document as generation expected + 1 if the expected generation is stored, where 0
// means that the service must not exist, and returns the document as written.
//
// A lost answer is settled by reading back. ctx bounds the whole call; where it ends before the
// write is settled, the error is ErrUnknown.
func Apply(ctx context.Context, objects Objects, d document.Document, expected uint64) (document.Document, error) {
	next := d.WithGeneration(expected + 1)
	if err := document.Check(next); err != nil {
		return document.Document{}, err
	}
	value, err := next.Canonical()
	if err != nil {
		return document.Document{}, err
	}
	for sent := false; ; {
		stored, version, err := read(ctx, objects, next)
		if err != nil {
			if done := pause(ctx, sent, err); done != nil {
				return document.Document{}, done
			}
			continue
		}
		if sent && bytes.Equal(stored.Value, value) {
			return next, nil
		}
		theirs, err := parseStored(stored)
		if err != nil {
			return document.Document{}, err
		}
		if sent && theirs.Generation() > next.Generation() {
			// The lost write may have been the generation that this one replaced.
			return document.Document{}, fmt.Errorf("documents.Apply %s: generation %d is stored by now: %w",
				next.Service(), theirs.Generation(), ErrUnknown)
		}
		if theirs.Generation() != expected {
			return document.Document{}, &Conflict{expected: expected, yours: next, theirs: theirs}
		}
		o := Object{Kind: KindServices, Name: string(next.Service()), Version: version, Value: value}
		_, err = objects.Put(ctx, o)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, ErrUnknown):
			sent = true
		case errors.Is(err, ErrConflict):
			// The next reading shows whose write won.
		default:
			return document.Document{}, eris.Wrapf(err, "documents.Apply %s", next.Service())
		}
	}
}

func read(ctx context.Context, objects Objects, d document.Document) (o Object, version int64, err error) {
	o, err = objects.Get(ctx, KindServices, string(d.Service()))
	if errors.Is(err, ErrNotFound) {
		return Object{}, 0, nil
	}
	return o, o.Version, err
}

func parseStored(o Object) (document.Document, error) {
	if o.Version == 0 {
		return document.Document{}, nil
	}
	d, err := document.Parse(o.Value)
	if err != nil {
		return document.Document{}, eris.Wrapf(err, "documents.Apply: stored document %s", o.Name)
	}
	return d, nil
}

// pause waits before a write is read back again; a read that fails before the write ends the call.
func pause(ctx context.Context, sent bool, cause error) error {
	if !sent {
		return eris.Wrap(cause, "documents.Apply read")
	}
	t := time.NewTimer(settleEvery)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("documents.Apply: the write could not be read back: %w", ErrUnknown)
	}
}
