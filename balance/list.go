package balance

import "math"

// The server list: when to subscribe to it, and what its updates change. The caller makes the calls; see
// WatchList.

// listPolling holds the number of failed list calls since the last list arrived, and the time of the last
// call.
type listPolling struct {
	failures int
	lastAt   float64
}

// watchList subscribes to the list, at the start and after a failed call. The balancer never fetches the
// complete list, as the updates of a subscription cost less.
func (b *Balancer) watchList() {
	b.polling.lastAt = b.now
	b.emit(Action{Kind: WatchList})
}

// onList applies an update of the list. Servers that a complete list does not name are removed.
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

// updateServer applies one entry of a list. A later start time means a restart, which clears the server's
// errors and begins its slow start. A removed server stays in the table until dropRemoved.
func (b *Balancer) updateServer(entry *Server) {
	s := b.servers.byID[entry.ID]
	if s == nil {
		if entry.State == Removed {
			return
		}
		// A random initial weight keeps sidecars that start together from choosing the same servers.
		s = &server{rotationState: rotationState{currentWeight: 100 * b.rng.Float64()}}
		s.SlowStartAt = math.Inf(-1)
		s.ringPosition = hash64(uint64(entry.ID) + hash64(uint64(b.cfg.SidecarNumber%ringCount)+1))
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

// retryWatch subscribes again after an exponential backoff with jitter. The backoff counts from the start of
// the failed call, as a call that hung has already waited, but is never shorter than the minimum from now on.
// It is bounded: updates must be known 6 s after discovery is back, and within MaxPollInterval. Without
// Subscribe an agent on the same machine receives the lists: calls to it cost nothing, and whatever the agent
// has counts as known to the sidecar.
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
