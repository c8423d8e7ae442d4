// Package member is the seam between the core and where servers come from. A source gives whole lists or changes, each
// with a generation; it knows nothing of requests, and the core nothing of how a source comes by its lists.
//
// Invariants: half a list never gets in, for a source checks what it tells as a whole; when a source fails the core
// goes on with the last good list.
package member

import (
	"context"
	"time"
)

// State is what a source knows of a server.
type State uint8

// The states.
const (
	Up       State = iota
	Draining       // finishes what it has, wants nothing new
	Removed        // among changes only
)

// Instance is one server.
type Instance struct {
	ID         string // the same at every sidecar
	Addr       string // host:port
	Zone, Kind string
	Cell       int
	State      State
	Weight     float64   // relative size; 1 where nothing is known
	Started    time.Time // zero: long ago
}

// List is a message of a source.
type List struct {
	Generation uint64
	Whole      bool // what is not named is gone; else only what is named has changed
	Instances  []Instance
}

// Source is where servers come from. Each call ends with one error or, for Fetch, one list.
type Source interface {
	// Watch hands each list after a generation to tell, in order, until it ends, which it says why.
	Watch(ctx context.Context, after uint64, tell func(List)) error
	// Fetch asks for the whole list once.
	Fetch(ctx context.Context) (List, error)
	// Name tells sources apart, in logs and when one takes another's place.
	Name() string
}
