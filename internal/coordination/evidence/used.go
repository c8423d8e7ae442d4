package evidence

import (
	"time"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/sidecar/counts"
)

// What is used is compared some times in the plan's patience, and worse is what is larger by these parts.
const (
	comparisonsPerTimeout  = 100
	maxGrowthFraction      = 0.01 // of the memory that there is
	maxCPUFraction         = 0.25 // of the processor time a request
	maxAttemptsFraction    = 0.1  // of the tries a request
	maxConnectionsFraction = 0.5  // of the connections opened for a request, and of the probes
	longSpanFactor         = 5    // growth of memory comes in bursts, so it is compared over this many times as long as well
	pairedMetrics          = 6    // cells that are judged by pairs
	maxLoadFraction        = 0.25 // by how much more one side's sidecars may be asked for such a comparison
)

// usage is what some sidecars have used.
type usage struct {
	growthBytes, memoryBytes, cpuTicks, requests float64
	sidecarWindows                               float64 // of a sidecar
	effortMissing                                bool    // one of them does not tell its effort
	effort                                       counts.ServerUse
}

func (u *usage) add(more usage) {
	u.growthBytes, u.cpuTicks, u.requests, u.sidecarWindows = u.growthBytes+more.growthBytes, u.cpuTicks+more.cpuTicks, u.requests+more.requests, u.sidecarWindows+more.sidecarWindows
	u.memoryBytes = more.memoryBytes // as it is now
	u.effortMissing = u.effortMissing || more.effortMissing
	u.effort.Attempts += more.effort.Attempts
	u.effort.Connections += more.effort.Connections
	u.effort.HealthChecks += more.effort.HealthChecks
}

// similarLoad reports whether both sides' sidecars were asked about as much. What a process uses of itself is shared by its requests: where it has
// fewer of them each costs more, and it grows otherwise, whatever its release is.
func similarLoad(n, o usage) bool {
	if n.sidecarWindows == 0 || o.sidecarWindows == 0 {
		return false
	}
	a, b := n.requests/n.sidecarWindows, o.requests/o.sidecarWindows
	return a <= (1+maxLoadFraction)*b && b <= (1+maxLoadFraction)*a
}

// usageSpan is what new and control have used since the last comparison.
type usageSpan struct {
	used   [2]usage
	length time.Duration
}

func (s *usageSpan) add(used [2]usage, took time.Duration) {
	for i := range used {
		s.used[i].add(used[i])
	}
	s.length += took
}

// compareUsage hands in what new and control have used in the same time, once that is long enough.
func (e *Evidence) compareUsage(evidenceTimeout time.Duration) error {
	long := evidenceTimeout / comparisonsPerTimeout
	if s := &e.usageSpans[1]; s.length >= longSpanFactor*long {
		if err := e.compareGrowth("growth of memory over longer times", s.used); err != nil {
			return err
		}
		*s = usageSpan{}
	}
	s := &e.usageSpans[0]
	if s.length < long {
		return nil
	}
	used := s.used
	*s = usageSpan{}
	if err := e.compareGrowth("growth of memory", used); err != nil {
		return err
	}
	n, o := used[0], used[1]
	if !similarLoad(n, o) {
		return nil
	}
	larger := func(name string, new, old, part float64) error {
		return e.addPair(name, new > (1+part)*old, old > (1+part)*new)
	}
	if n.requests > 0 && o.requests > 0 && o.cpuTicks > 0 {
		if err := larger("processor time", n.cpuTicks/n.requests, o.cpuTicks/o.requests, maxCPUFraction); err != nil {
			return err
		}
	}
	if n.effortMissing || o.effortMissing {
		return nil
	}
	if err := larger("probes", float64(n.effort.HealthChecks)/n.sidecarWindows, float64(o.effort.HealthChecks)/o.sidecarWindows, maxConnectionsFraction); err != nil {
		return err
	}
	if n.requests == 0 || o.requests == 0 {
		return nil
	}
	if err := larger("tries", float64(n.effort.Attempts)/n.requests, float64(o.effort.Attempts)/o.requests, maxAttemptsFraction); err != nil {
		return err
	}
	return larger("connections", float64(n.effort.Connections)/n.requests, float64(o.effort.Connections)/o.requests, maxConnectionsFraction)
}

func (e *Evidence) compareGrowth(name string, used [2]usage) error {
	n, o := used[0], used[1]
	if n.memoryBytes == 0 || o.memoryBytes == 0 || !similarLoad(n, o) {
		return nil
	}
	a, b := n.growthBytes/n.memoryBytes, o.growthBytes/o.memoryBytes
	return e.addPair(name, a > b+maxGrowthFraction, b > a+maxGrowthFraction)
}

// addPair hands in a comparison. Where neither is larger by what matters it says nothing: memory stands still between its bursts.
func (e *Evidence) addPair(name string, new, old bool) error {
	if new == old {
		return nil
	}
	return e.judge.AddPair(overallCell(name), new)
}

// overallCell is the cell of what is compared over all.
func overallCell(metric string) judge.Cell {
	return judge.Cell{Class: allZones, Zone: allZones, Metric: metric}
}
