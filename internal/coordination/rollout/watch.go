package rollout

// Watch is a driver's view of the agents of a change: which have been out of reach, and for how many looks.
type Watch struct{ missing map[string]int }

// unreached is after how many looks without an answer an agent's sidecars count as not ready.
const unreached = 3

// Look takes in what agents have reported, by sidecar, and which have not answered. It gives the events that tell something new, and the
// agents that are out of reach since this look. A sidecar whose agent is out of reach is not ready; what it runs is as it was told last.
func (w *Watch) Look(c *Change, seen map[string]Report, silent func(agent string) bool) (events []Event, lost []string) {
	before := w.missing
	w.missing = map[string]int{}
	for _, m := range c.Members {
		if _, counted := w.missing[m.Agent]; silent(m.Agent) && !counted {
			if w.missing[m.Agent] = before[m.Agent] + 1; w.missing[m.Agent] == unreached {
				lost = append(lost, m.Agent)
			}
		}
		s := c.State.sidecars[m.Name]
		r, told := seen[m.Name]
		if !told && w.missing[m.Agent] >= unreached {
			r, told = Report{Sidecar: m.Name, Release: s.Release}, true
		}
		if told && (s.Release != r.Release || s.Ready != r.Ready || s.Order != 0 && r.Done == s.Order) {
			events = append(events, Event{Report: &r})
		}
	}
	return events, lost
}
