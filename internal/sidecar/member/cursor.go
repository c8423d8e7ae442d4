package member

import (
	"errors"
	"fmt"
	"slices"
)

// Cursor decides which lists of a source are accepted, and remembers the generation of the last one. It is pure and not safe for
// concurrent use.
//
// Invariants: a list older than the current one is not accepted, unless the source was asked for its complete list: it may have lost its
// state and begun to number anew. A complete list in which no server belongs to this deployment is not accepted.
type Cursor struct {
	Zones, Kinds []string // those of this deployment's servers; empty: not known

	generation uint64
	acceptAny  bool // the complete list was requested, and is accepted whatever its generation
}

// OutdatedError is Accept's error for a list that is older than the current one.
type OutdatedError struct{ Generation, Current uint64 }

func (e *OutdatedError) Error() string {
	return fmt.Sprintf("generation %d is older than %d, which is held", e.Generation, e.Current)
}

// After returns the generation after which lists are to be requested; 0 requests the complete list.
func (c *Cursor) After() uint64 {
	if c.acceptAny {
		return 0
	}
	return c.generation
}

// Generation returns the generation of the current list.
func (c *Cursor) Generation() uint64 { return c.generation }

// Restart prepares for another source, whose generations have nothing to do with those of the previous one.
func (c *Cursor) Restart() { c.generation, c.acceptAny = 0, true }

// Accept makes a list the current one, or returns why it is not accepted. Nothing of a list that is not accepted may be used, and the
// source is to be called again, for what follows After.
func (c *Cursor) Accept(list List) error {
	if err := c.checkDeployment(list); err != nil {
		return err
	}
	if list.Generation < c.generation && !c.acceptAny {
		c.acceptAny = true
		return &OutdatedError{list.Generation, c.generation}
	}
	c.generation, c.acceptAny = list.Generation, false
	return nil
}

var (
	errNoKnownZone = errors.New("none of its servers is of a zone in the settings: it is another deployment's")
	errNoKnownKind = errors.New("none of its servers is of a kind in the settings: it is another deployment's")
)

// checkDeployment returns an error if a complete list is another deployment's: not one of its servers has a zone, or a kind, that the
// settings name.
func (c *Cursor) checkDeployment(list List) error {
	noneOf := func(known []string, attribute func(Instance) string) bool {
		return list.Complete && len(known) > 0 && len(list.Instances) > 0 &&
			!slices.ContainsFunc(list.Instances, func(in Instance) bool { return attribute(in) == "" || slices.Contains(known, attribute(in)) })
	}
	if noneOf(c.Zones, func(in Instance) string { return in.Zone }) {
		return errNoKnownZone
	}
	if noneOf(c.Kinds, func(in Instance) string { return in.Kind }) {
		return errNoKnownKind
	}
	return nil
}
