package coordinator

import (
	"math/rand/v2"
	"time"

	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// Fault does one thing to the coordinators, their ways or the holders, waits for up to two times of a session, and undoes it.
func (g *Group) Fault(random *rand.Rand, ttl time.Duration, holders []*process.Process) (what string) {
	c := g.All[random.IntN(len(g.All))]
	if i := g.Leader(); i >= 0 && random.IntN(3) > 0 {
		c = g.All[i]
	}
	long := time.Duration(random.IntN(int(2 * ttl)))
	wait := func() { <-time.After(long) } // how long a fault lasts is part of it
	both := func(l *link.Link, held bool) { l.Hold(link.Forth, held); l.Hold(link.Back, held) }
	switch what = []string{"kill", "kill all", "stop", "cut", "cut in", "cut out", "clients cut", "slow", "reset", "holders stopped"}[random.IntN(10)]; what {
	case "kill":
		c.Die()
		wait()
		c.Start()
	case "kill all":
		g.KillAll()
	case "stop":
		c.Stop()
		wait()
		c.Continue()
	case "cut", "cut in", "cut out": // from the others, not from clients; what is held back comes late
		c.Cut(true, what != "cut out", what != "cut in")
		wait()
		c.Cut(false, true, true)
	case "clients cut":
		both(g.Clients[c.I], true)
		wait()
		both(g.Clients[c.I], false)
	case "slow":
		for _, l := range c.Links {
			l.Slow(30 * time.Millisecond)
		}
		wait()
		for _, l := range c.Links {
			l.Slow(0)
		}
	case "reset":
		for _, l := range append(c.Links, g.Clients...) {
			l.Reset()
		}
	case "holders stopped": // for longer than the lease, in the middle of whatever it does
		for _, h := range holders[:len(holders)/2] {
			h.Stop()
		}
		long += ttl
		wait()
		for _, h := range holders[:len(holders)/2] {
			h.Continue()
		}
	}
	return what
}
