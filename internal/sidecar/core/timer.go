package core

import (
	"container/heap"
	"time"
)

// timer is a timer of the module, or the time-out of an attempt. It is removed when what it is for ends: most attempts end long before
// their time-out, and timers that were kept until then would keep attempts in memory, and waking for each took a third of an idle
// process's work.
type timer struct {
	deadline time.Time
	index    int // in the heap; -1: not in it
	token    uint64
	attempt  *attempt
}

// timers is a heap of the timers that are set, the earliest first.
type timers []*timer

func (h *timers) add(t *timer) { heap.Push(h, t) }

// remove removes timers; nil ones and those that are not in the heap are skipped.
func (h *timers) remove(all ...*timer) {
	for _, t := range all {
		if t != nil && t.index >= 0 {
			heap.Remove(h, t.index)
		}
	}
}

// popExpired removes and returns the earliest timer if its deadline has passed, otherwise nil.
func (h *timers) popExpired(now time.Time) *timer {
	if len(*h) == 0 || (*h)[0].deadline.After(now) {
		return nil
	}
	return heap.Pop(h).(*timer)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].index, h[j].index = i, j }
func (h *timers) Push(t any)        { t.(*timer).index = len(*h); *h = append(*h, t.(*timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
