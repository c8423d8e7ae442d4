package evidence

import (
	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/sidecar/counts"
)

// allZones is the zone of cells over all zones, and the class of cells over all classes.
const allZones = "*"

// cellKey identifies the counts of one class in one zone.
type cellKey struct{ class, zone string }

// countsByCell holds counts by class and zone.
type countsByCell map[cellKey]counts.Class

func (c countsByCell) add(key cellKey, more counts.Class) { c[key] = addClasses(c[key], more) }

func (c countsByCell) addAll(more countsByCell) {
	for key, counted := range more {
		c.add(key, counted)
	}
}

// addClasses returns the sum of two counts, with the name of the second.
func addClasses(a, b counts.Class) counts.Class {
	a.Name = b.Name
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	for i, n := range b.Latency {
		a.Latency[i] += n
	}
	return a
}

// difference returns the counts since an earlier reading of the same process.
func difference(now, before counts.Class) counts.Class {
	now.Served -= before.Served
	now.Refused -= before.Refused
	now.Failed -= before.Failed
	for i := range now.Latency {
		now.Latency[i] -= before.Latency[i]
	}
	return now
}

// finished returns the number of requests that ended: served, refused or failed.
func finished(c counts.Class) float64 { return float64(c.Served + c.Refused + c.Failed) }

// rateMetric is a rate that is compared.
type rateMetric struct {
	name   string
	counts func(counts.Class) judge.Counts
}

// outcomeMetrics are the rates that need no bound. The third rate, that of slow requests, is counted by slowBound.slow.
var outcomeMetrics = []rateMetric{
	{"refused", func(c counts.Class) judge.Counts { return judge.Counts{Hits: float64(c.Refused), Total: finished(c)} }},
	{"failed", func(c counts.Class) judge.Counts { return judge.Counts{Hits: float64(c.Failed), Total: finished(c)} }},
}

// increment holds the counts and the usage of one process between two readings.
type increment struct {
	release string
	classes []counts.Class
	usage
}

// increments returns the counts and the usage since the last readings, by sidecar, and keeps the readings for the next call. A
// process that is read for the first time has no increment.
func (e *Evidence) increments(readings map[string]Reading) map[string]increment {
	all := map[string]increment{}
	for name, now := range readings {
		before, known := e.lastReadings[name]
		e.lastReadings[name] = now
		if known && before.Process == now.Process {
			all[name] = incrementBetween(before, now)
		}
	}
	return all
}

// incrementBetween returns the counts and the usage of a process between two readings of it.
func incrementBetween(before, now Reading) increment {
	delta := increment{release: now.Process.Release, usage: usage{
		growthBytes:      float64(now.ResidentBytes) - float64(before.ResidentBytes),
		memoryBytes:      float64(now.ResidentBytes),
		cpuTicks:         float64(now.CPUTicks - before.CPUTicks),
		sidecarWindows:   1,
		serverUseMissing: now.ServerUse == nil || before.ServerUse == nil,
	}}
	if !delta.serverUseMissing {
		delta.serverUse = counts.ServerUse{Attempts: now.ServerUse.Attempts - before.ServerUse.Attempts,
			Connections: now.ServerUse.Connections - before.ServerUse.Connections, HealthChecks: now.ServerUse.HealthChecks - before.ServerUse.HealthChecks}
	}
	for i, class := range now.Classes {
		if i < len(before.Classes) && before.Classes[i].Name == class.Name {
			counted := difference(class, before.Classes[i])
			delta.classes = append(delta.classes, counted)
			delta.requests += finished(counted)
		}
	}
	return delta
}

// window holds the counts and the usage of a change's sidecars since the last poll.
type window struct {
	state      *rollout.State
	increments map[string]increment
}

// sum returns the total counts, by cell, and the total usage of the selected sidecars that run a release.
func (w window) sum(release string, selected func(rollout.Sidecar) bool) (counted countsByCell, used usage) {
	counted = countsByCell{}
	for _, sidecar := range w.state.Sidecars() {
		delta, ok := w.increments[sidecar.Name]
		if !ok || delta.release != release || !selected(sidecar) {
			continue
		}
		memory := used.memoryBytes + delta.memoryBytes
		used.add(delta.usage)
		used.memoryBytes = memory // the sum over the sidecars; add keeps only the memory of the last one
		for _, c := range delta.classes {
			counted.add(cellKey{c.Name, sidecar.Zone}, c)
		}
	}
	return counted, used
}
