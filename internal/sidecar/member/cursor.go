package member

import (
	"errors"
	"fmt"
	"slices"
)

// Cursor decides which lists of a source are accepted, and holds the generation of the last one. It performs no I/O and is not
// safe for concurrent use.
//
// Invariants: a list that is older than the current one is not accepted, unless the complete list was requested, because the
// source may have lost its state and restarted its numbering. A complete list in which no server belongs to this deployment is
// not accepted.
type Cursor struct {
	Zones, Kinds []string // of this deployment's servers; empty if not known

	generation uint64
	acceptAny  bool // the complete list was requested, and is accepted whatever its generation
}

// OutdatedError is Accept's error for a list that is older than the current one.
type OutdatedError struct{ Generation, Current uint64 }

func (e *OutdatedError) Error() string {
	return fmt.Sprintf("generation %d is older than the current generation %d", e.Generation, e.Current)
}

// After returns the generation after which lists are to be requested from the source; 0 requests the complete list.
func (c *Cursor) After() uint64 {
	if c.acceptAny {
		return 0
	}
	return c.generation
}

// Generation returns the generation of the current list.
func (c *Cursor) Generation() uint64 { return c.generation }

// Restart prepares for another source, whose generations are not comparable with those of the previous one.
func (c *Cursor) Restart() { c.generation, c.acceptAny = 0, true }

// Accept makes a list the current one, or returns an error that says why it is not accepted. Then the caller must not use any
// part of the list, and calls the source again, for the lists that follow After.
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
	errNoKnownZone = errors.New("no server of the list has a zone from the settings: the list belongs to another deployment")
	errNoKnownKind = errors.New("no server of the list has a kind from the settings: the list belongs to another deployment")
)

// checkDeployment returns an error if a complete list belongs to another deployment: it has servers, and either all of them have
// a zone that is not in the settings, or all of them have a kind that is not in the settings.
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
