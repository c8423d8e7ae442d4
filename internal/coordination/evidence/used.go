package evidence

import (
	"time"

	"petrelhook/internal/coordination/judge"
	"petrelhook/internal/sidecar/counts"
)

// What is used is compared some times in the plan's patience, and worse is what is larger by these parts.
const (
	comparisons = 100
	growthPart  = 0.01 // of the memory that there is
	cpuPart     = 0.25 // of the processor time a request
	triesPart   = 0.1  // of the tries a request
	openPart    = 0.5  // of the connections opened for a request, and of the probes
	longer      = 5    // growth of memory comes in bursts, so it is compared over this many times as long as well
	pairs       = 6    // cells that are judged by pairs
	alikePart   = 0.25 // by how much more one side's sidecars may be asked for such a comparison
)

// use is what some sidecars have used.
type use struct {
	growth, memory, cpu, requests float64
	windows                       float64 // of a sidecar
	untold                        bool    // one of them does not tell its effort
	effort                        counts.ServerUse
}

func (u *use) add(more use) {
	u.growth, u.cpu, u.requests, u.windows = u.growth+more.growth, u.cpu+more.cpu, u.requests+more.requests, u.windows+more.windows
	u.memory = more.memory // as it is now
	u.untold = u.untold || more.untold
	u.effort.Attempts += more.effort.Attempts
	u.effort.Connections += more.effort.Connections
	u.effort.HealthChecks += more.effort.HealthChecks
}

// alike reports whether both sides' sidecars were asked about as much. What a process uses of itself is shared by its requests: where it has
// fewer of them each costs more, and it grows otherwise, whatever its release is.
func alike(n, o use) bool {
	if n.windows == 0 || o.windows == 0 {
		return false
	}
	a, b := n.requests/n.windows, o.requests/o.windows
	return a <= (1+alikePart)*b && b <= (1+alikePart)*a
}

// span is what new and control have used since the last comparison.
type span struct {
	used   [2]use
	length time.Duration
}

func (s *span) add(used [2]use, took time.Duration) {
	for i := range used {
		s.used[i].add(used[i])
	}
	s.length += took
}

// compare hands in what new and control have used in the same time, once that is long enough.
func (e *Evidence) compare(patience time.Duration) error {
	long := patience / comparisons
	if s := &e.spans[1]; s.length >= longer*long {
		if err := e.growth("growth of memory over longer times", s.used); err != nil {
			return err
		}
		*s = span{}
	}
	s := &e.spans[0]
	if s.length < long {
		return nil
	}
	used := s.used
	*s = span{}
	if err := e.growth("growth of memory", used); err != nil {
		return err
	}
	n, o := used[0], used[1]
	if !alike(n, o) {
		return nil
	}
	larger := func(name string, new, old, part float64) error {
		return e.pair(name, new > (1+part)*old, old > (1+part)*new)
	}
	if n.requests > 0 && o.requests > 0 && o.cpu > 0 {
		if err := larger("processor time", n.cpu/n.requests, o.cpu/o.requests, cpuPart); err != nil {
			return err
		}
	}
	if n.untold || o.untold {
		return nil
	}
	if err := larger("probes", float64(n.effort.HealthChecks)/n.windows, float64(o.effort.HealthChecks)/o.windows, openPart); err != nil {
		return err
	}
	if n.requests == 0 || o.requests == 0 {
		return nil
	}
	if err := larger("tries", float64(n.effort.Attempts)/n.requests, float64(o.effort.Attempts)/o.requests, triesPart); err != nil {
		return err
	}
	return larger("connections", float64(n.effort.Connections)/n.requests, float64(o.effort.Connections)/o.requests, openPart)
}

func (e *Evidence) growth(name string, used [2]use) error {
	n, o := used[0], used[1]
	if n.memory == 0 || o.memory == 0 || !alike(n, o) {
		return nil
	}
	a, b := n.growth/n.memory, o.growth/o.memory
	return e.pair(name, a > b+growthPart, b > a+growthPart)
}

// pair hands in a comparison. Where neither is larger by what matters it says nothing: memory stands still between its bursts.
func (e *Evidence) pair(name string, new, old bool) error {
	if new == old {
		return nil
	}
	return e.judge.Pair(whole(name), new)
}

// whole is the cell of what is compared over all.
func whole(metric string) judge.Cell {
	return judge.Cell{Class: everyZone, Zone: everyZone, Metric: metric}
}
