package evidence

import (
	"time"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/sidecar/counts"
)

// Usage is compared so many times in the plan's evidence time-out. Growth of memory comes in bursts, so that it is compared over spans that
// are so many times as long as well.
const (
	comparisonsPerTimeout = 100
	longSpanFactor        = 5
)

// One side counts as larger in a comparison from these fractions on.
const (
	maxGrowthFraction      = 0.01 // of the memory that there is
	maxCPUFraction         = 0.25 // of the processor time per request
	maxAttemptsFraction    = 0.1  // of the attempts per request
	maxConnectionsFraction = 0.5  // of the connections opened per request, and of the health checks
)

// maxLoadFraction is by how much the load of one side's sidecars may be larger for a comparison.
const maxLoadFraction = 0.25

// pairedMetrics is the number of cells that compareUsage may make.
const pairedMetrics = 6

// usage is what some sidecars have used in some time.
type usage struct {
	growthBytes    float64 // of memory
	memoryBytes    float64 // at the end
	cpuTicks       float64
	requests       float64
	sidecarWindows float64 // polls, counted for each sidecar
	effortMissing  bool    // one of the processes does not report its effort
	effort         counts.ServerUse
}

// add adds what was used afterwards.
func (u *usage) add(more usage) {
	u.growthBytes += more.growthBytes
	u.memoryBytes = more.memoryBytes
	u.cpuTicks += more.cpuTicks
	u.requests += more.requests
	u.sidecarWindows += more.sidecarWindows
	u.effortMissing = u.effortMissing || more.effortMissing
	u.effort.Attempts += more.effort.Attempts
	u.effort.Connections += more.effort.Connections
	u.effort.HealthChecks += more.effort.HealthChecks
}

// similarLoad reports whether the sidecars of both sides had about the same load. What a process uses for itself is spread over its requests:
// with fewer of them each costs more, and memory grows differently, whatever the release is.
func similarLoad(newUsage, controlUsage usage) bool {
	if newUsage.sidecarWindows == 0 || controlUsage.sidecarWindows == 0 {
		return false
	}
	newLoad, controlLoad := newUsage.requests/newUsage.sidecarWindows, controlUsage.requests/controlUsage.sidecarWindows
	return newLoad <= (1+maxLoadFraction)*controlLoad && controlLoad <= (1+maxLoadFraction)*newLoad
}

// usageSpan is what new and control have used since the last comparison.
type usageSpan struct {
	used   [2]usage
	length time.Duration
}

func (s *usageSpan) add(used [2]usage, elapsed time.Duration) {
	for i := range used {
		s.used[i].add(used[i])
	}
	s.length += elapsed
}

// compareUsage compares what new and control have used in the same time, once that is long enough.
func (e *Evidence) compareUsage(evidenceTimeout time.Duration) error {
	short := evidenceTimeout / comparisonsPerTimeout
	if s := &e.usageSpans[1]; s.length >= longSpanFactor*short {
		if err := e.compareGrowth("growth of memory over longer times", s.used); err != nil {
			return err
		}
		*s = usageSpan{}
	}
	s := &e.usageSpans[0]
	if s.length < short {
		return nil
	}
	used := s.used
	*s = usageSpan{}
	if err := e.compareGrowth("growth of memory", used); err != nil {
		return err
	}
	if !similarLoad(used[0], used[1]) {
		return nil
	}
	return e.comparePerRequest(used[0], used[1])
}

// comparePerRequest compares processor time, health checks, attempts and connections. The metrics' names are part of the log.
func (e *Evidence) comparePerRequest(n, o usage) error {
	larger := func(name string, newValue, controlValue, fraction float64) error {
		return e.addPair(name, newValue > (1+fraction)*controlValue, controlValue > (1+fraction)*newValue)
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
	newGrowth, controlGrowth := n.growthBytes/n.memoryBytes, o.growthBytes/o.memoryBytes
	return e.addPair(name, newGrowth > controlGrowth+maxGrowthFraction, controlGrowth > newGrowth+maxGrowthFraction)
}

// addPair adds a comparison to the judge. If neither side is larger by what matters it is left out: memory stands still between its bursts.
func (e *Evidence) addPair(metric string, newLarger, controlLarger bool) error {
	if newLarger == controlLarger {
		return nil
	}
	return e.judge.AddPair(judge.Cell{Class: allZones, Zone: allZones, Metric: metric}, newLarger)
}
