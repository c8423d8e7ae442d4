package engines

import (
	"container/heap"
	"time"
)

// schedule runs functions in virtual time, those of the same time in the order in which they were scheduled.
type schedule struct {
	now       time.Duration
	list      entries
	scheduled int // so far
}

// entry is a function that runs at a virtual time; sequence orders those of the same time.
type entry struct {
	at       time.Duration
	sequence int
	run      func()
}

// at schedules a function; for a time that has passed it runs next.
func (s *schedule) at(t time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.list, entry{max(t, s.now), s.scheduled, run})
}

// after schedules a function for a time from now.
func (s *schedule) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

// run runs what is scheduled up to a time.
func (s *schedule) run(until time.Duration) {
	for len(s.list) > 0 && s.list[0].at <= until {
		next := heap.Pop(&s.list).(entry)
		s.now = next.at
		next.run()
	}
}

// every schedules a function periodically.
func (s *schedule) every(first, period time.Duration, run func()) {
	s.at(first, func() {
		run()
		s.every(s.now+period, period, run)
	})
}

// entries is a heap by time, then sequence.
type entries []entry

// Len implements heap.Interface.
func (e entries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries) Push(x any) { *e = append(*e, x.(entry)) }

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
