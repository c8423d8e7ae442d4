package core

import (
	"container/heap"
	"time"
)

// timer is one of the module's, or the end of an attempt's time. Whoever it is for takes it out when it ends: most
// attempts end long before their time is up, and to keep their timers until then held on to what they were for, and to
// wake for each took a third of an idle process's work.
type timer struct {
	due     time.Time
	at      int // place among the timers; -1: in none
	token   uint64
	attempt *attempt
}

// timers are those that are set, the first at the front.
type timers []*timer

func (h *timers) set(t *timer) { heap.Push(h, t) }

// stop takes timers out; those that are out already stay so.
func (h *timers) stop(all ...*timer) {
	for _, t := range all {
		if t != nil && t.at >= 0 {
			heap.Remove(h, t.at)
		}
	}
}

// due takes out the first timer if its time has come; nil: it has not.
func (h *timers) due(now time.Time) *timer {
	if len(*h) == 0 || (*h)[0].due.After(now) {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// Len, Less, Swap, Push and Pop are for container/heap.
func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].at, h[j].at = i, j }
func (h *timers) Push(t any)        { t.(*timer).at = len(*h); *h = append(*h, t.(*timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.at = -1
	return t
}
