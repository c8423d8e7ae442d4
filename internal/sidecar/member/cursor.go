package member

import (
	"errors"
	"fmt"
	"slices"
)

// Cursor says which news of a source count: it holds how far the list has come. It is pure.
//
// Invariants: a list older than the one held is not taken, unless the source was asked for all it has: it may count anew, after a
// loss of its own. A list that names nothing of this deployment is not taken.
type Cursor struct {
	Zones, Kinds []string // what this deployment's servers are of; none: that is not known

	held uint64
	anew bool // all there is was asked for, and counts whatever its generation
}

// After is the generation after which news are to be asked for; 0 asks for the whole list.
func (c *Cursor) After() uint64 {
	if c.anew {
		return 0
	}
	return c.held
}

// Held is the generation of the list held.
func (c *Cursor) Held() uint64 { return c.held }

// Restart is for another source in the place of the one before.
func (c *Cursor) Restart() { c.held, c.anew = 0, true }

// Take takes a list in, or says why it does not count. Nothing of one that does not count may be used, and its source is to be
// asked anew.
func (c *Cursor) Take(l List) error {
	if err := c.foreign(l); err != nil {
		return err
	}
	if l.Generation < c.held && !c.anew {
		c.anew = true
		return fmt.Errorf("generation %d is older than %d, which is held", l.Generation, c.held)
	}
	c.held, c.anew = l.Generation, false
	return nil
}

var (
	errZones = errors.New("none of its servers is of a zone in the settings: it is another deployment's")
	errKinds = errors.New("none of its servers is of a kind in the settings: it is another deployment's")
)

// foreign says that a whole list is another deployment's: not one of its servers has a zone, or a kind, that the settings name.
func (c *Cursor) foreign(l List) error {
	none := func(known []string, of func(Instance) string) bool {
		return l.Whole && len(known) > 0 && len(l.Instances) > 0 &&
			!slices.ContainsFunc(l.Instances, func(in Instance) bool { return of(in) == "" || slices.Contains(known, of(in)) })
	}
	if none(c.Zones, func(in Instance) string { return in.Zone }) {
		return errZones
	}
	if none(c.Kinds, func(in Instance) string { return in.Kind }) {
		return errKinds
	}
	return nil
}
