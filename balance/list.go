package balance

import "math"

// The server list: when to subscribe to it, and what its updates change. The caller carries out the calls;
// see WatchList.

// listPolling counts the calls for the list that failed since the last list came, and has the time of the
// last call.
type listPolling struct {
	failures int
	lastAt   float64
}

// watchList subscribes, at the start and after a failed call. The module never asks for a complete list: the
// updates of a subscription cost less.
func (b *Balancer) watchList() {
	b.polling.lastAt = b.now
	b.emit(Action{Kind: WatchList})
}

// onList applies an update of the list. In a complete one, servers that it does not name are removed.
func (b *Balancer) onList(ev ServerList) {
	switch ev.Kind {
	case ListFailed:
		b.retryWatch()
		return
	case ListFull, ListCached:
		b.servers.markUnlistedRemoved(ev.Servers)
	}
	b.polling.failures = 0
	for i := range ev.Servers {
		b.updateServer(&ev.Servers[i])
	}
	b.servers.dropRemoved()
}

// updateServer applies one entry of a list. A later time of start is a restart, which clears a server's
// faults and begins its slow start; a removed server stays in the table until dropRemoved.
func (b *Balancer) updateServer(entry *Server) {
	s := b.servers.byID[entry.ID]
	if s == nil {
		if entry.State == Removed {
			return
		}
		// A random start keeps sidecars that begin together from choosing alike.
		s = &server{rotationState: rotationState{currentWeight: 100 * b.rng.Float64()}}
		s.SlowStartAt = math.Inf(-1)
		s.ringPosition = mix(uint64(entry.ID) + mix(uint64(b.cfg.SidecarNumber%ringCount)+1))
		b.servers.byID[entry.ID] = s
		b.servers.all = append(b.servers.all, s)
	}
	if entry.StartedAt > s.StartedAt {
		s.resetHealth()
		s.currentWeight = 0
		b.beginSlowStart(s, math.Min(entry.StartedAt, b.now))
	}
	s.Server = *entry
	if !(s.Capacity > 0) || math.IsInf(s.Capacity, 1) {
		s.Capacity = 1
	}
}

// retryWatch subscribes again after a backoff with jitter. The backoff counts from the beginning of the
// failed call on, since one that hung was a wait already, but never less than the shortest one from now. It
// is bounded: updates must be known 6 s after discovery is back, and within MaxPollInterval. Without
// Subscribe, an agent beside the sidecar gets the lists: to call it costs nothing, and what it has counts
// as known to the sidecar.
func (b *Balancer) retryWatch() {
	shortest := float64(pollBackoff)
	backoff := math.Min(pollBackoff*float64(int(1)<<min(b.polling.failures, 4)), maxPollBackoff)
	if !b.cfg.Subscribe {
		shortest = clamp(b.cfg.DrainGrace/10, pushedPollBackoff, pollBackoff)
		backoff = shortest
	} else if b.cfg.MaxPollInterval > 0 {
		backoff = math.Min(backoff, b.cfg.MaxPollInterval/3)
	}
	b.polling.failures++
	jitter := 0.5 + b.rng.Float64()/2
	after := math.Max(backoff*jitter-(b.now-b.polling.lastAt), math.Min(shortest, backoff)*jitter)
	b.emit(Action{Kind: SetTimer, Token: listTimer, After: after})
}
