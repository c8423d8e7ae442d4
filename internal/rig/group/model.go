package group

import (
	"github.com/anishathalye/porcupine"

	"petrelhook/internal/coordination/lease"
)

// grantee is the state of the model: the last grant, and whose it is.
type grantee struct {
	token   lease.Token
	session lease.SessionID
}

// Model is a lease whose sessions may end at any time: a grant has a new token, or is the last one told again to its session; a release
// that is answered with ok was of the last.
var Model = porcupine.Model{
	Init: func() any { return grantee{} },
	Step: func(state, in, out any) (bool, any) {
		last, cmd, a := state.(grantee), in.(lease.Command), out.(lease.Answer)
		switch now := (grantee{a.Token, cmd.Session}); {
		case cmd.Kind == lease.Acquire:
			return a.Token > last.token || now == last, now
		case a.Status == lease.OK:
			return cmd.Token == last.token && cmd.Session == last.session, last
		}
		return true, last
	},
}
