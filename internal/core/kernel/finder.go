package kernel

import "github.com/cockroachdb/errors"

// Finder finds several services by name and keeps every failure.
type Finder struct {
	kernel *Kernel
	err    error
}

// NewFinder makes a finder among the services that are registered with k.
func NewFinder(k *Kernel) *Finder {
	return &Finder{kernel: k}
}

// Lookup gives the value of the service with that name, as type T; after a failure it gives the zero value.
func Lookup[T any](f *Finder, name Name) T {
	value, err := Find[T](f.kernel, name)
	f.err = errors.Join(f.err, err)
	return value
}

// Err gives the failures so far, or nil.
func (f *Finder) Err() error {
	return f.err
}
