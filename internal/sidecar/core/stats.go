package core

import "slices"

// Stats describes the state of the core at one moment.
type Stats struct {
	Requests   int      // unanswered, or with attempts in flight
	IDs        int      // reserved trace ids
	Servers    []string // ids of the instances in the table, sorted
	Generation uint64   // of the current list
}

// Stats returns the current state. It waits for the loop, and returns the zero value if the loop has ended.
func (l *Loop) Stats() Stats {
	result := make(chan Stats, 1)
	l.post(func() {
		stats := Stats{Requests: len(l.requests), IDs: len(l.ids.reserved), Generation: l.cursor.Generation()}
		for _, server := range l.servers {
			stats.Servers = append(stats.Servers, server.name)
		}
		slices.Sort(stats.Servers)
		result <- stats
	})
	select {
	case stats := <-result:
		return stats
	case <-l.ended:
		return Stats{}
	}
}
