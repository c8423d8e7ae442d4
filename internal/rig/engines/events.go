package engines

import (
	"container/heap"
	"time"
)

// schedule runs what is due in order of time, and of what was put in first.
type schedule struct {
	now  time.Duration
	list entries
	put  int
}

type entry struct {
	at    time.Duration
	order int
	do    func()
}

func (s *schedule) at(t time.Duration, do func()) {
	s.put++
	heap.Push(&s.list, entry{max(t, s.now), s.put, do})
}

func (s *schedule) run(until time.Duration) {
	for len(s.list) > 0 && s.list[0].at <= until {
		next := heap.Pop(&s.list).(entry)
		s.now = next.at
		next.do()
	}
}

// every calls a function again and again.
func (s *schedule) every(first, period time.Duration, do func()) {
	s.at(first, func() {
		do()
		s.every(s.now+period, period, do)
	})
}

type entries []entry

// Len implements heap.Interface.
func (e entries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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
