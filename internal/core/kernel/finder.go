package kernel

import "github.com/cockroachdb/errors"

// Finder looks up several services by name and collects the errors, so that the caller checks Err once.
type Finder struct {
	kernel *Kernel
	err    error
}

// NewFinder returns a finder for the services that are registered with k.
func NewFinder(k *Kernel) *Finder {
	return &Finder{kernel: k}
}

// Lookup returns the value of the service with that name, as type T. If that fails it returns the zero value and Err
// returns the error.
func Lookup[T any](f *Finder, name Name) T {
	value, err := Find[T](f.kernel, name)
	f.err = errors.Join(f.err, err)
	return value
}

// Err returns the errors of all lookups so far, or nil.
func (f *Finder) Err() error {
	return f.err
}
