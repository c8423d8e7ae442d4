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
	growthBytes      float64 // of memory
	memoryBytes      float64 // at the end
	cpuTicks         float64
	requests         float64
	sidecarWindows   float64 // polls, counted for each sidecar
	serverUse        counts.ServerUse
	serverUseMissing bool // one of the processes does not report its use of servers
}

// add adds what was used afterwards.
func (u *usage) add(more usage) {
	u.growthBytes += more.growthBytes
	u.memoryBytes = more.memoryBytes
	u.cpuTicks += more.cpuTicks
	u.requests += more.requests
	u.sidecarWindows += more.sidecarWindows
	u.serverUseMissing = u.serverUseMissing || more.serverUseMissing
	u.serverUse.Attempts += more.serverUse.Attempts
	u.serverUse.Connections += more.serverUse.Connections
	u.serverUse.HealthChecks += more.serverUse.HealthChecks
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
	newUsage, controlUsage usage
	length                 time.Duration
}

func (s *usageSpan) add(newUsage, controlUsage usage, elapsed time.Duration) {
	s.newUsage.add(newUsage)
	s.controlUsage.add(controlUsage)
	s.length += elapsed
}

// compareUsage compares what new and control have used in the same time, once that is long enough.
func (e *Evidence) compareUsage(evidenceTimeout time.Duration) error {
	interval := evidenceTimeout / comparisonsPerTimeout
	if e.longSpan.length >= longSpanFactor*interval {
		if err := e.compareGrowth("growth of memory over longer times", e.longSpan); err != nil {
			return err
		}
		e.longSpan = usageSpan{}
	}
	if e.shortSpan.length < interval {
		return nil
	}
	span := e.shortSpan
	e.shortSpan = usageSpan{}
	if err := e.compareGrowth("growth of memory", span); err != nil {
		return err
	}
	if !similarLoad(span.newUsage, span.controlUsage) {
		return nil
	}
	return e.comparePerRequest(span.newUsage, span.controlUsage)
}

// comparePerRequest compares processor time, health checks, attempts and connections. The metrics' names are part of the log.
func (e *Evidence) comparePerRequest(newUsage, controlUsage usage) error {
	larger := func(name string, newValue, controlValue, fraction float64) error {
		return e.addPair(name, newValue > (1+fraction)*controlValue, controlValue > (1+fraction)*newValue)
	}
	if newUsage.requests > 0 && controlUsage.requests > 0 && controlUsage.cpuTicks > 0 {
		err := larger("processor time", newUsage.cpuTicks/newUsage.requests, controlUsage.cpuTicks/controlUsage.requests, maxCPUFraction)
		if err != nil {
			return err
		}
	}
	if newUsage.serverUseMissing || controlUsage.serverUseMissing {
		return nil
	}
	newServerUse, controlServerUse := newUsage.serverUse, controlUsage.serverUse
	err := larger("probes", float64(newServerUse.HealthChecks)/newUsage.sidecarWindows,
		float64(controlServerUse.HealthChecks)/controlUsage.sidecarWindows, maxConnectionsFraction)
	if err != nil || newUsage.requests == 0 || controlUsage.requests == 0 {
		return err
	}
	err = larger("tries", float64(newServerUse.Attempts)/newUsage.requests,
		float64(controlServerUse.Attempts)/controlUsage.requests, maxAttemptsFraction)
	if err != nil {
		return err
	}
	return larger("connections", float64(newServerUse.Connections)/newUsage.requests,
		float64(controlServerUse.Connections)/controlUsage.requests, maxConnectionsFraction)
}

// compareGrowth compares by what fraction of the memory of each side that memory has grown.
func (e *Evidence) compareGrowth(name string, span usageSpan) error {
	newUsage, controlUsage := span.newUsage, span.controlUsage
	if newUsage.memoryBytes == 0 || controlUsage.memoryBytes == 0 || !similarLoad(newUsage, controlUsage) {
		return nil
	}
	newGrowth, controlGrowth := newUsage.growthBytes/newUsage.memoryBytes, controlUsage.growthBytes/controlUsage.memoryBytes
	return e.addPair(name, newGrowth > controlGrowth+maxGrowthFraction, controlGrowth > newGrowth+maxGrowthFraction)
}

// addPair adds a comparison to the judge. If neither side is larger by what matters it is left out: memory does not grow between its
// bursts.
func (e *Evidence) addPair(metric string, newLarger, controlLarger bool) error {
	if newLarger == controlLarger {
		return nil
	}
	return e.judge.AddPair(judge.Cell{Class: allZones, Zone: allZones, Metric: metric}, newLarger)
}
