package core

import (
	"container/heap"
	"time"
)

// timer is a timer of the module or the timeout of an attempt. It is removed when its request or attempt ends. Most attempts end
// long before their timeout; timers kept until then would keep the attempts in memory, and waking the loop for each of them was a
// third of the work of an idle process.
type timer struct {
	deadline time.Time
	index    int      // position in the heap; -1 if the timer is not set
	token    uint64   // by which the module knows its timer
	attempt  *attempt // the attempt that times out; nil for a timer of the module
}

// timers is a min-heap of the timers that are set, ordered by deadline.
type timers []*timer

func (h *timers) add(t *timer) { heap.Push(h, t) }

// remove removes timers from the heap. It skips nil timers and those that are not in the heap.
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
