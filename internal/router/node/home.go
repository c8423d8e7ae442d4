package node

import (
	"hash/fnv"
	"sort"
	"time"

	"petrelhook/internal/router/dissemination"
)

// home is the control sidecar that a sidecar subscribes to.
type home struct {
	address string
	since   time.Duration
	heard   time.Duration
	touch   bool
	avoid   map[string]time.Duration // homes that failed, until when
	scrub   scrub
	// wantsWhole has the next session ask for the whole list of servers.
	wantsWhole bool
}

// tickSessions keeps this node's sessions alive.
func (n *Node) tickSessions(now time.Duration) {
	every := sessionEvery
	if n.starting(now) { // the others may start at the same moment, and not have heard the last one
		every = startEvery
	}
	if !n.every.session.due(every, now) {
		return
	}
	if n.view.Epoch.Round == 0 {
		n.greet()
		return
	}
	if n.self.Member != nil {
		for _, m := range n.view.Members {
			if m.Address != n.self.Address {
				n.sendSession(m.Address)
			}
		}
	}
	if n.core() {
		n.sessions.ReceiveHeartbeat(n.self, now)
		greetEvery := seedsEvery
		if now < justStarted { // whoever starts anew asks the seeds, which may have started anew too
			greetEvery = 0
		}
		if n.every.seeds.due(greetEvery, now) {
			n.greet()
		}
		return
	}
	if n.self.Member == nil || !n.isMember(n.self.Address) {
		n.reviewHome(now)
		if n.home.address != "" {
			n.sendSession(n.home.address)
		}
		astray := n.starting(now) && !n.home.touch && n.every.seeds.due(seedsEvery, now)
		if astray || now-n.home.heard > homeSilent {
			n.greet()
		}
	}
}

// starting reports whether the sidecar has just started and serves nobody yet.
func (n *Node) starting(now time.Duration) bool { return now < justStarted && !n.ready.Load() }

// greet asks the seeds who the core is.
func (n *Node) greet() {
	m := dissemination.SubscriptionHeartbeat{Router: n.self, View: n.view.Epoch}
	for _, seed := range n.seeds {
		if seed != n.self.Address {
			n.transport.Send(seed, m)
		}
	}
}

func (n *Node) sendSession(to string) {
	has := n.upstream[to]
	m := dissemination.SubscriptionHeartbeat{Router: n.self, Subscribe: true, View: n.view.Epoch, Version: n.versions.Version(),
		HomeIncarnation: has.life, RegistryStamp: has.stamp, CoreMember: n.self.Member != nil}
	if m.CoreMember {
		m.SessionsStamp = n.sessions.PeerStamp(to, has.life)
	}
	if to == n.home.address {
		m.FullState, n.home.wantsWhole = n.home.wantsWhole, false
	}
	n.transport.Send(to, m)
}

// reviewHome chooses another home where the one there is says nothing, or has lost touch with the core.
func (n *Node) reviewHome(now time.Duration) {
	h := &n.home
	if h.avoid == nil {
		h.avoid = map[string]time.Duration{}
	}
	limit := homeSilent
	if n.starting(now) { // it serves nobody until a home answers
		limit = startSilent
	}
	silent := now-max(h.heard, h.since) > limit
	astray := now-h.since > homeSilent && !h.touch
	if h.address != "" && (silent || astray) {
		h.avoid[h.address] = now + homeReview
	}
	away := now-h.since > homeReview && n.zoneOf(h.address) != n.settings.Zone
	if h.address != "" && n.isMember(h.address) && !silent && !astray && !away {
		return
	}
	best := n.bestHome(now)
	if best == "" || best == h.address {
		h.since = now
		return
	}
	h.address, h.since, h.touch = best, now, false
}

func (n *Node) zoneOf(address string) string {
	for _, m := range n.view.Members {
		if m.Address == address {
			return m.Zone
		}
	}
	return ""
}

// bestHome is the nearest member of the core that did not fail as a home lately.
func (n *Node) bestHome(now time.Duration) string {
	return n.nearestMember(n.self.Address, func(address string) bool { return now < n.home.avoid[address] })
}

// nearestMember ranks the core: those that are not avoided, the own zone, then the own region, then the others; within these by rendezvous
// hashing of a key.
func (n *Node) nearestMember(key string, avoided func(address string) bool) string {
	type ranked struct {
		address string
		avoid   bool
		far     int
		hash    uint32
	}
	var list []ranked
	for _, m := range n.view.Members {
		far := 2
		if m.Zone == n.settings.Zone {
			far = 0
		} else if n.settings.Zones[m.Zone] == n.settings.Region {
			far = 1
		}
		h := fnv.New32a()
		h.Write([]byte(key + m.Address))
		list = append(list, ranked{m.Address, avoided(m.Address), far, h.Sum32()})
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.avoid != b.avoid {
			return b.avoid
		}
		if a.far != b.far {
			return a.far < b.far
		}
		return a.hash < b.hash
	})
	if len(list) == 0 {
		return ""
	}
	return list[0].address
}
