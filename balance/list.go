package balance

import "math"

// The list of servers: when to ask for it, and what its news change.

// ask subscribes to the list, at the start and after a failed call: changes cost less than whole lists.
func (b *Balancer) ask() {
	b.askedAt = b.now
	b.emit(Action{Kind: WatchList})
}

func (b *Balancer) onList(ev ServerList) {
	switch ev.Kind {
	case ListFailed:
		b.askAgain()
		return
	case ListFull, ListCached:
		b.markUnlisted(ev.Servers)
	}
	b.asks = 0
	for i := range ev.Servers {
		b.update(&ev.Servers[i])
	}
	b.dropGone()
}

// update takes in one entry. A restart clears what was held against the server.
func (b *Balancer) update(entry *Server) {
	s := b.byID[entry.ID]
	if s == nil {
		if entry.State == Removed {
			return
		}
		// A random start keeps sidecars that begin together from choosing in step.
		s = &server{running: 100 * b.rng.Float64(), coldSince: math.Inf(-1)}
		s.place = mix(uint64(entry.ID) + mix(uint64(b.cfg.SidecarNumber%rounds)+1))
		b.byID[entry.ID] = s
		b.servers = append(b.servers, s)
	}
	if entry.StartedAt > s.StartedAt {
		s.resetHealth()
		s.running = 0
		b.beginSlowStart(s, math.Min(entry.StartedAt, b.now))
	}
	s.Server = *entry
	if !(s.Capacity > 0) || math.IsInf(s.Capacity, 1) {
		s.Capacity = 1
	}
}

// askAgain calls again after a growing, jittered pause, which counts from the failed call on: one that hung
// has been a pause. It is bounded, as news count as told 6 s after discovery is back, and within the limit on
// sidecars not subscribed. Where lists are pushed, an agent beside the sidecar has them: to ask costs
// nothing, what it has counts as told.
func (b *Balancer) askAgain() {
	least, pause := float64(askPause), math.Min(askPause*float64(int(1)<<min(b.asks, 4)), mostPause)
	if !b.cfg.Subscribe {
		least = bound(b.cfg.DrainGrace/10, agentPause, askPause)
		pause = least
	} else if b.cfg.MaxPollInterval > 0 {
		pause = math.Min(pause, b.cfg.MaxPollInterval/3)
	}
	b.asks++
	jitter := 0.5 + b.rng.Float64()/2
	left := math.Max(pause*jitter-(b.now-b.askedAt), math.Min(least, pause)*jitter)
	b.emit(Action{Kind: SetTimer, Token: listTimer, After: left})
}
