package balance

import (
	"math"
	"slices"
)

// Probes ask a server for a load report. If reports arrive in no other way, some servers are probed before a
// first send, which waits for their reports for a short time.

// startProbes probes the servers that are next in the rotation for a request. A server with a probe in flight
// for another request is not probed again.
func (b *Balancer) startProbes(r *request) {
	if !b.cfg.Probes || b.cfg.Reports != ReportProbe {
		return
	}
	count := b.probeCount()
	pool := b.subset()
	for len(r.probed) < count {
		var next *server
		for _, s := range pool {
			free := b.eligible(r, s) && !b.coolingDown(s) && !slices.Contains(r.probed, s)
			if free && (next == nil || s.currentWeight > next.currentWeight) {
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
	r.probeDeadline = b.now + probeWait*r.class.LatencyTarget
	b.requests.awaitingProbes = append(b.requests.awaitingProbes, r)
}

// probeCount returns how many servers to probe, so that the probability that all of them are busy is at most
// allBusyProbability, within the permitted cost of probes.
func (b *Balancer) probeCount() int {
	affordable := maxProbeCost / math.Max(b.cfg.Penalties.Probe, 1e-3)
	needed := math.Ceil(math.Log(allBusyProbability) / math.Log(clamp(b.busyFraction, 0.01, 0.99)))
	return int(math.Min(affordable, needed))
}

// onProbe applies a load report, or starts the cooldown of a server that gave none, and advances the requests
// that wait for probes.
func (b *Balancer) onProbe(ev ProbeResult) {
	s := b.servers.byID[ev.Server]
	if s == nil {
		return
	}
	if s.probing = false; ev.Result != OK { // the server may work, but cannot be reached from here
		b.startCooldown(s)
		s.ProbeFailed = true
	} else if b.applyLoadReport(s, ev.LoadReport); s.ProbeFailed {
		s.ProbeFailed, s.Cooldowns, s.CooldownUntil = false, 0, 0
	}
	b.advanceProbed()
}

// applyLoadReport stores a report's number of requests in flight, if it has a possible one.
func (b *Balancer) applyLoadReport(s *server, report []float32) {
	for i, f := range b.cfg.Fields {
		if i < len(report) && f == FieldInFlight && report[i] >= 0 && report[i] <= math.MaxFloat32 {
			s.reported, s.reportedAt, s.sentSince = float64(report[i]), b.now, 0
			b.busyFraction += (math.Min(s.reported, 1) - b.busyFraction) / meanSpan
		}
	}
}

// advanceProbed advances the requests that wait for probes, and keeps those in the list that still wait.
func (b *Balancer) advanceProbed() {
	b.requests.awaitingProbes = slices.DeleteFunc(b.requests.awaitingProbes, func(r *request) bool {
		b.advance(r)
		return r.done || r.probeDeadline <= b.now
	})
}

// awaitsProbes reports whether a request still waits for a probe, until its probeDeadline at the latest.
func (b *Balancer) awaitsProbes(r *request) bool {
	probing := func(s *server) bool { return s.probing }
	waits := b.now < r.probeDeadline && slices.ContainsFunc(r.probed, probing)
	if !waits {
		r.probeDeadline = 0
	}
	return waits
}
