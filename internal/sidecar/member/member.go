// Package member is the interface between the core and the sources of server lists. A source delivers complete lists or changes,
// each with a generation number. Sources do not depend on requests, and the core does not depend on how a source gets its lists.
//
// Invariants: a source validates a list completely before it delivers it, so the core never gets part of one; while a source
// fails, the core keeps using the last list that it accepted.
package member

import (
	"context"
	"time"
)

// State is the state of a server according to a source.
type State uint8

// The states. Their numbers are part of the snapshot that one process of a sidecar hands over to the next.
const (
	Up       State = iota
	Draining       // finishes its requests and accepts no new ones
	Removed        // only in lists of changes
)

// Instance is one server. Its JSON form is exchanged between two processes of a sidecar, which may be of different versions.
type Instance struct {
	ID      string    `json:"ID"`   // the same in every sidecar
	Addr    string    `json:"Addr"` // host:port
	Zone    string    `json:"Zone"`
	Kind    string    `json:"Kind"`
	Cell    int       `json:"Cell"`
	State   State     `json:"State"`
	Weight  float64   `json:"Weight"`  // relative size; 1 if nothing is known
	Started time.Time `json:"Started"` // zero if unknown, which counts as long ago
}

// List is one message of a source. Its JSON form is exchanged between two processes of a sidecar, which may be of different versions.
type List struct {
	Generation uint64     `json:"Generation"`
	Complete   bool       `json:"Whole"` // true: Instances holds all servers; false: it holds only the changes
	Instances  []Instance `json:"Instances"`
}

// Source delivers the list of servers. Its methods may be called from any goroutine.
type Source interface {
	// Watch calls onList, from one goroutine and in order, with each list that follows the generation after. It always returns an
	// error, which says why the watch ended.
	Watch(ctx context.Context, after uint64, onList func(List)) error
	// Fetch requests the complete list once, and returns it or an error.
	Fetch(ctx context.Context) (List, error)
	// Name returns the name that identifies the source in log lines, and by which a different source is recognised.
	Name() string
}
