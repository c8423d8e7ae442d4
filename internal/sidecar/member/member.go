// Package member is the interface between the core and the sources of server lists. A source delivers complete lists or changes, each
// with a generation number. It knows nothing of requests, and the core does not know how a source gets its lists.
//
// Invariants: a source validates a list completely before it delivers it, so the core never sees part of one; while a source fails the
// core keeps using the last list that it accepted.
package member

import (
	"context"
	"time"
)

// State is the state of a server according to a source.
type State uint8

// The states. Their numbers are part of what one process of a sidecar hands over to the next.
const (
	Up       State = iota
	Draining       // finishes what it has, wants nothing new
	Removed        // only in lists of changes
)

// Instance is one server. Its JSON form is exchanged between two processes of a sidecar, which may be of different versions.
type Instance struct {
	ID      string    `json:"ID"`   // the same at every sidecar
	Addr    string    `json:"Addr"` // host:port
	Zone    string    `json:"Zone"`
	Kind    string    `json:"Kind"`
	Cell    int       `json:"Cell"`
	State   State     `json:"State"`
	Weight  float64   `json:"Weight"`  // relative size; 1 if nothing is known
	Started time.Time `json:"Started"` // zero: long ago
}

// List is one message of a source. Its JSON form is exchanged between two processes of a sidecar, which may be of different versions.
type List struct {
	Generation uint64     `json:"Generation"`
	Complete   bool       `json:"Whole"` // true: a server that is not in Instances is gone; false: Instances has only what changed
	Instances  []Instance `json:"Instances"`
}

// Source delivers the list of servers. A call of either method ends with exactly one error or, for Fetch, one list.
type Source interface {
	// Watch calls onList, from one goroutine and in order, with each list after a generation. It returns why the watch ended.
	Watch(ctx context.Context, after uint64, onList func(List)) error
	// Fetch requests the complete list once.
	Fetch(ctx context.Context) (List, error)
	// Name identifies the source, in log lines and where one source replaces another.
	Name() string
}
