package node

import "time"

// periodic is work that is done again once a time has passed since it was done last.
type periodic struct {
	last time.Duration // on the node's clock
	at   bool          // last counts
}

// due reports whether the work is to be done now; if so the time begins anew.
func (p *periodic) due(every, now time.Duration) bool {
	if p.at && now-p.last < every {
		return false
	}
	p.last, p.at = now, true
	return true
}

// soon has the work done at the next look.
func (p *periodic) soon() { p.at = false }

// periodics are the works of a node's loop.
type periodics struct {
	session, seeds       periodic // to other sidecars
	quota, uses, report  periodic
	loads                periodic
	judge, expire, store periodic // of a control sidecar
	prune, forget        periodic
}
