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

// Conflict is the error for a document that is based on another generation than the stored one; it holds both
// documents.
type Conflict struct {
	expected uint64
	refused  document.Document
	stored   document.Document
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("documents.Apply %s: the change is based on generation %d, but generation %d is stored",
		c.refused.Service(), c.expected, c.stored.Generation())
}

// Expected returns the generation that the refused change was based on.
func (c *Conflict) Expected() uint64 { return c.expected }

// Refused returns the document that was refused.
func (c *Conflict) Refused() document.Document { return c.refused }

// Stored returns the stored document; it is the zero document if none is stored.
func (c *Conflict) Stored() document.Document { return c.stored }

// readBackInterval is the delay between attempts to read back a write whose response was lost.
const readBackInterval = 100 * time.Millisecond

// Apply writes a document as generation expected + 1 if the expected generation is stored, and returns the document
// as written. An expected generation of 0 means that the service must not exist.
//
// If the response of a write is lost, Apply reads the document back and repeats the write if it had no effect. ctx
// bounds the whole call; the error is ErrUnknown if ctx ends before the effect of the write is known.
func Apply(ctx context.Context, objects Objects, d document.Document, expected uint64) (document.Document, error) {
	next := d.WithGeneration(expected + 1)
	if err := document.Check(next); err != nil {
		return document.Document{}, err
	}
	value, err := next.Canonical()
	if err != nil {
		return document.Document{}, err
	}
	for uncertain := false; ; {
		stored, version, err := read(ctx, objects, next)
		if err != nil {
			if done := waitToReadBack(ctx, uncertain, err); done != nil {
				return document.Document{}, done
			}
			continue
		}
		if uncertain && bytes.Equal(stored.Value, value) {
			return next, nil
		}
		current, err := parseStored(stored)
		if err != nil {
			return document.Document{}, err
		}
		if uncertain && current.Generation() > next.Generation() {
			// The write may have taken effect before the stored generation replaced it.
			return document.Document{}, fmt.Errorf("documents.Apply %s: generation %d is stored by now: %w",
				next.Service(), current.Generation(), ErrUnknown)
		}
		if current.Generation() != expected {
			return document.Document{}, &Conflict{expected: expected, refused: next, stored: current}
		}
		o := Object{Kind: KindServices, Name: string(next.Service()), Version: version, Value: value}
		_, err = objects.Put(ctx, o)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, ErrUnknown):
			uncertain = true
		case errors.Is(err, ErrConflict):
			// The next read shows which write took effect.
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

// waitToReadBack waits before a write of unknown effect is read back again. If there is no such write, it returns the
// cause of the failed read at once.
func waitToReadBack(ctx context.Context, uncertain bool, cause error) error {
	if !uncertain {
		return eris.Wrap(cause, "documents.Apply read")
	}
	t := time.NewTimer(readBackInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("documents.Apply: the write could not be read back: %w", ErrUnknown)
	}
}
