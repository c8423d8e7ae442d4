package balance

import "math"

// Probes: where only they tell the load, some servers are asked before a first send.

// probeFor asks the servers next in turn what they hold before a first send, where only probes tell.
func (b *Balancer) probeFor(r *request) {
	if !b.cfg.Probes || b.cfg.Reports != ReportProbe {
		return
	}
	fan := b.fan()
	pool := b.subset()
	for len(r.probed) < fan {
		var next *server
		for _, s := range pool {
			free := b.allowed(r, s) && !b.resting(s) && !r.hasProbed(s)
			if free && (next == nil || s.running > next.running) {
				next = s
			}
		}
		if next == nil {
			break
		}
		r.probed = append(r.probed, next)
		if !next.probing {
			next.probing = true
			b.emit(Action{Kind: Probe, Server: next.ID})
		}
	}
	r.holdUntil = b.now + probeAims*r.class.LatencyTarget
	b.holding = append(b.holding, r)
}

// fan is how many servers to probe so that hardly ever all of them are busy, within what it may cost.
func (b *Balancer) fan() int {
	most := probeSpend / math.Max(b.cfg.Penalties.Probe, 1e-3)
	return int(math.Min(most, math.Ceil(math.Log(allBusy)/math.Log(bound(b.busy, 0.01, 0.99)))))
}

func (b *Balancer) onProbe(ev ProbeResult) {
	s := b.byID[ev.Server]
	if s == nil {
		return
	}
	if s.probing = false; ev.Result != OK { // out of reach: it may run, but nothing gets through from here
		b.rest(s)
		s.dark = true
	} else if b.note(s, ev.LoadReport); s.dark {
		s.dark, s.rests, s.restUntil = false, 0, 0
	}
	b.stepHeld()
}

// held reports whether a request still waits for its probes; it never waits for long.
func (b *Balancer) held(r *request) bool {
	for _, s := range r.probed {
		if s.probing && b.now < r.holdUntil {
			return true
		}
	}
	r.holdUntil = 0
	return false
}
