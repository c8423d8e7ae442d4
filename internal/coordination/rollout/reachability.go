package rollout

// ReachabilityTracker counts how many polls in a row each agent of a change has not answered. A driver keeps one per change. The zero value
// is ready to use.
type ReachabilityTracker struct{ missedPolls map[string]int }

// maxMissedPolls is the number of polls in a row without an answer after which the sidecars of an agent count as not ready.
const maxMissedPolls = 3

// Observe processes the result of a poll: the reports by sidecar, and which agents have not answered. It returns events for the reports
// that differ from the state, and the agents that count as unreachable as of this poll. A sidecar whose agent is unreachable counts as
// not ready and as still running the release that was reported last.
func (t *ReachabilityTracker) Observe(c *Change, reports map[string]Report, unanswered func(agent string) bool) (events []Event, unreachable []string) {
	before := t.missedPolls
	t.missedPolls = map[string]int{}
	for _, m := range c.Members {
		if _, counted := t.missedPolls[m.Agent]; unanswered(m.Agent) && !counted {
			if t.missedPolls[m.Agent] = before[m.Agent] + 1; t.missedPolls[m.Agent] == maxMissedPolls {
				unreachable = append(unreachable, m.Agent)
			}
		}
		sidecar := c.State.sidecars[m.Name]
		report, reported := reports[m.Name]
		if !reported && t.missedPolls[m.Agent] >= maxMissedPolls {
			report, reported = Report{Sidecar: m.Name, Release: sidecar.Release}, true
		}
		if reported && sidecar.differs(report) {
			events = append(events, Event{Report: &report})
		}
	}
	return events, unreachable
}

// differs reports whether a report differs from the known state of the sidecar or completes its open order.
func (s *Sidecar) differs(r Report) bool {
	return s.Release != r.Release || s.Ready != r.Ready || s.OpenOrder != 0 && r.CompletedOrder == s.OpenOrder
}
