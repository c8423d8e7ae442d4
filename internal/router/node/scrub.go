package node

import (
	"time"

	"petrelhook/internal/router/dissemination"
)

const (
	scrubAfter = time.Second      // for which a list differs from the home's before the whole one is asked for
	scrubAgain = 10 * time.Second // between two questions for the whole list
)

// scrub finds out that this sidecar's list of servers differs from its home's though it followed all changes, as after a
// cut that outlasted the memory of ended instances, and then asks for the whole list.
type scrub struct {
	differs bool
	since   time.Duration // when the lists were last seen to be equal, or the whole one was asked for
	again   time.Duration // the whole list is not asked for before
}

// compare takes in whether the lists are equal now, and reports whether the whole list has to be asked for.
func (s *scrub) compare(equal bool, now time.Duration) bool {
	if equal || !s.differs {
		s.differs, s.since = !equal, now
		return false
	}
	if now-s.since < scrubAfter || now < s.again {
		return false
	}
	s.again = now + scrubAgain
	return true
}

// takeServers takes in what a push says of servers.
func (n *Node) takeServers(from string, p *dissemination.Push, now time.Duration) {
	switch {
	case n.core():
		for _, u := range p.Instances {
			n.registry.Merge(u, now)
		}
	case p.FullState && p.Complete && p.InTouch:
		n.registry.Replace(p.Instances, now)
	default:
		for _, u := range p.Instances {
			n.registry.Adopt(u, now)
		}
	}
	n.registry.RefreshContact(p.HeartbeatsReceived, now)
	n.follow(from, p)
	comparable := !n.core() && from == n.home.address && p.Complete && p.InTouch && n.followed(from, p.Incarnation) == p.Stamp
	if comparable && n.home.scrub.compare(p.Digest == n.registry.Digest(), now) {
		n.logger.Info().Str("home", from).Msg("the list of servers differs from the home's")
		n.home.wantsWhole = true
	}
}
