package rollout

// ReachabilityTracker is a driver's view of the agents of a change: which have been out of reach, and for how many looks.
type ReachabilityTracker struct{ missedPolls map[string]int }

// maxMissedPolls is after how many looks without an answer an agent's sidecars count as not ready.
const maxMissedPolls = 3

// Observe takes in what agents have reported, by sidecar, and which have not answered. It gives the events that tell something new, and the
// agents that are out of reach since this look. A sidecar whose agent is out of reach is not ready; what it runs is as it was told last.
func (tracker *ReachabilityTracker) Observe(c *Change, reports map[string]Report, unanswered func(agent string) bool) (events []Event, lost []string) {
	before := tracker.missedPolls
	tracker.missedPolls = map[string]int{}
	for _, m := range c.Members {
		if _, counted := tracker.missedPolls[m.Agent]; unanswered(m.Agent) && !counted {
			if tracker.missedPolls[m.Agent] = before[m.Agent] + 1; tracker.missedPolls[m.Agent] == maxMissedPolls {
				lost = append(lost, m.Agent)
			}
		}
		sidecar := c.State.sidecars[m.Name]
		report, reported := reports[m.Name]
		if !reported && tracker.missedPolls[m.Agent] >= maxMissedPolls {
			report, reported = Report{Sidecar: m.Name, Release: sidecar.Release}, true
		}
		if reported && (sidecar.Release != report.Release || sidecar.Ready != report.Ready || sidecar.OpenOrder != 0 && report.CompletedOrder == sidecar.OpenOrder) {
			events = append(events, Event{Report: &report})
		}
	}
	return events, lost
}
