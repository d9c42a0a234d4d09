package credentials

import (
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// checkInterval limits both the time until a replaced file is used and the rate of file system calls.
const checkInterval = 5 * time.Second

// reloader caches a value loaded from files and reloads it when a file changes.
type reloader[T any] struct {
	paths []string
	load  func() (T, error)
	now   func() time.Time

	mu      sync.Mutex
	value   T
	stamp   string
	checked time.Time
	err     error
}

func newReloader[T any](paths []string, load func() (T, error), now func() time.Time) (*reloader[T], error) {
	r := &reloader[T]{paths: paths, load: load, now: now, checked: now()}
	stamp, err := r.fileStamp()
	if err != nil {
		return nil, eris.Wrap(err, "credentials.newReloader")
	}
	if r.value, err = load(); err != nil {
		return nil, eris.Wrap(err, "credentials.newReloader")
	}
	r.stamp = stamp
	return r, nil
}

// get returns the current value. If reloading a changed file fails, it returns the last valid value.
func (r *reloader[T]) get() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checked) < checkInterval {
		return r.value
	}
	r.checked = now
	stamp, err := r.fileStamp()
	if err != nil {
		r.err = err
		return r.value
	}
	if stamp == r.stamp {
		return r.value
	}
	value, err := r.load()
	r.err = err
	if err == nil {
		r.value, r.stamp = value, stamp
	}
	return r.value
}

// fileStamp returns a string that changes with the modification time of any of the files.
func (r *reloader[T]) fileStamp() (string, error) {
	stamp := ""
	for _, path := range r.paths {
		info, err := os.Stat(path)
		if err != nil {
			return "", err
		}
		stamp += info.ModTime().String() + "/"
	}
	return stamp, nil
}
