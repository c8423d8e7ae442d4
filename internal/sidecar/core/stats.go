package core

import "slices"

// Stats is what the core holds at one moment.
type Stats struct {
	Requests   int // not answered, or with attempts out
	IDs        int // that must not be taken again
	Servers    []string
	Generation uint64 // of the list in use
}

// Stats looks into the core; after its end it is empty.
func (l *Loop) Stats() Stats {
	got := make(chan Stats, 1)
	l.post(func() {
		s := Stats{Requests: len(l.requests), IDs: len(l.ids.held), Generation: l.cursor.Generation()}
		for _, one := range l.servers {
			s.Servers = append(s.Servers, one.name)
		}
		slices.Sort(s.Servers)
		got <- s
	})
	select {
	case s := <-got:
		return s
	case <-l.ended:
		return Stats{}
	}
}
