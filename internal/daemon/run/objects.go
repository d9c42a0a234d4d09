package run

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/platform/hostlist"
	"waxwingplank/internal/platform/objectapi"
)

// objects adapts the client of the object API to the documents package.
type objects struct{ client *objectapi.Client }

func (o objects) Get(ctx context.Context, kind, name string) (documents.Object, error) {
	got, err := o.client.Get(ctx, kind, name)
	if err != nil {
		return documents.Object{}, documentError(err)
	}
	return documentObject(got), nil
}

func (o objects) List(ctx context.Context, kind string) (documents.Snapshot, error) {
	got, err := o.client.List(ctx, kind)
	if err != nil {
		return documents.Snapshot{}, documentError(err)
	}
	return documentSnapshot(got), nil
}

func (o objects) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (documents.Snapshot, error) {
	got, err := o.client.Watch(ctx, kind, after, wait)
	if err != nil {
		return documents.Snapshot{}, documentError(err)
	}
	return documentSnapshot(got), nil
}

func (o objects) Put(ctx context.Context, obj documents.Object) (int64, error) {
	version, err := o.client.Put(ctx, objectapi.Write{
		Kind: obj.Kind, Name: obj.Name, Value: obj.Value, Expected: obj.Version,
	})
	if err != nil {
		return 0, documentError(err)
	}
	return version, nil
}

func documentObject(o objectapi.Object) documents.Object {
	return documents.Object{Kind: o.Kind(), Name: o.Name(), Version: o.Version(), Value: o.Value(), Deleted: o.Deleted()}
}

func documentSnapshot(s objectapi.Snapshot) documents.Snapshot {
	out := documents.Snapshot{Version: s.Version(), Reset: s.Reset()}
	for _, o := range s.Objects() {
		out.Objects = append(out.Objects, documentObject(o))
	}
	return out
}

func documentError(err error) error {
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return eris.Wrap(documents.ErrConflict, err.Error())
	case errors.Is(err, objectapi.ErrNotFound):
		return eris.Wrap(documents.ErrNotFound, err.Error())
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRejected):
		return eris.Wrap(documents.ErrUnavailable, err.Error())
	default:
		return eris.Wrap(documents.ErrUnknown, err.Error())
	}
}

// store adapts the client of the object API to the storage of claims, leases and orders.
type store struct{ client *objectapi.Client }

func (s store) Get(ctx context.Context, kind, name string) ([]byte, int64, error) {
	o, err := s.client.Get(ctx, kind, name)
	if err != nil {
		return nil, 0, storageError(err)
	}
	return o.Value(), o.Version(), nil
}

func (s store) Put(ctx context.Context, kind, name string, expected int64, value []byte) (int64, error) {
	version, err := s.client.Put(ctx, objectapi.Write{Kind: kind, Name: name, Value: value, Expected: expected})
	if err != nil {
		return 0, storageError(err)
	}
	return version, nil
}

func (s store) Delete(ctx context.Context, kind, name string) error {
	o, err := s.client.Get(ctx, kind, name)
	if err != nil {
		return storageError(err)
	}
	if err := s.client.Delete(ctx, kind, name, o.Version()); err != nil {
		return storageError(err)
	}
	return nil
}

func (s store) List(ctx context.Context, kind string) ([]string, error) {
	got, err := s.client.List(ctx, kind)
	if err != nil {
		return nil, storageError(err)
	}
	var names []string
	for _, o := range got.Objects() {
		names = append(names, o.Name())
	}
	return names, nil
}

func storageError(err error) error {
	switch {
	case errors.Is(err, objectapi.ErrConflict):
		return eris.Wrap(storage.ErrConflict, err.Error())
	case errors.Is(err, objectapi.ErrNotFound):
		return eris.Wrap(storage.ErrNotFound, err.Error())
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrRejected):
		return eris.Wrap(storage.ErrUnavailable, err.Error())
	default:
		return eris.Wrap(storage.ErrUnknown, err.Error())
	}
}

// hosts adapts the client of the host list to the members package.
type hosts struct{ client *hostlist.Client }

func (h hosts) List(ctx context.Context) ([]membership.ListedHost, error) {
	list, err := h.client.List(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "run.List")
	}
	var out []membership.ListedHost
	for _, x := range list {
		out = append(out, membership.ListedHost{
			Host: membership.Host{
				ID: x.ID(), Address: x.Address(), PeerAddress: x.PeerAddress(),
				FailureDomain: x.FailureDomain(), Region: x.Region(),
			},
			Leaving: x.State() == hostlist.Leaving,
		})
	}
	return out, nil
}
