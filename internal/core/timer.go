package core

import (
	"container/heap"
	"time"

	"petrelhook/balance"
)

// timer is one of the module's, or the end of an attempt's time or of that for which a trace is kept.
type timer struct {
	due     time.Time
	token   uint64
	request balance.RequestID // whose it is, 0: nobody's
	attempt *attempt
	trace   string
}

type timerHeap []timer

func (h *timerHeap) add(t timer)       { heap.Push(h, t) }
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
