package group

import (
	"github.com/anishathalye/porcupine"

	"petrelhook/internal/coordination/lease"
)

// lastGrant is the state of the model: the last grant, and whose it is.
type lastGrant struct {
	token   lease.Token
	session lease.SessionID
}

// Model is a lease whose sessions may end at any time: a grant has a larger token than all before, or repeats the last grant to the
// same session; a release that succeeds is of the last grant.
var Model = porcupine.Model{
	Init: func() any { return lastGrant{} },
	Step: func(state, in, out any) (bool, any) {
		last, cmd, a := state.(lastGrant), in.(lease.Command), out.(lease.Answer)
		switch now := (lastGrant{a.Token, cmd.Session}); {
		case cmd.Kind == lease.Acquire:
			return a.Token > last.token || now == last, now
		case a.Status == lease.OK:
			return cmd.Token == last.token && cmd.Session == last.session, last
		}
		return true, last
	},
}
