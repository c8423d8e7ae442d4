package quota

import "time"

// historySlots cover the rule's window and what may still be under way from before it, and one slot more.
const historySlots = 18

// History is what was spent of a limit lately, by slots, the newest first.
type History [historySlots]float64

// slotOf is how long a slot of a history is, for a rule with a window.
func slotOf(window time.Duration) time.Duration {
	const underWay = time.Duration(transit * float64(time.Second))
	return max(time.Millisecond, (window+underWay)/(historySlots-1))
}

// spending is a history as time passes.
type spending struct {
	slots  History
	number int64 // of the newest slot, since the clock's start
}

func (s *spending) roll(slot, now time.Duration) {
	number := int64(now / slot)
	passed := int(min(historySlots, max(0, number-s.number)))
	copy(s.slots[passed:], s.slots[:historySlots-passed])
	clear(s.slots[:passed])
	s.number = max(s.number, number)
}

func (s *spending) add(units float64, slot, now time.Duration) {
	s.roll(slot, now)
	s.slots[0] += units
}

func (h *History) sum() (units float64) {
	for _, one := range h {
		units += one
	}
	return units
}

// level is what a bucket holds after it was spent from like this, and full before.
func (h *History) level(capacity, refill float64) float64 {
	tokens := capacity
	for i := len(h) - 1; i >= 0; i-- {
		tokens = min(capacity, tokens+refill) - h[i]
	}
	return tokens
}
