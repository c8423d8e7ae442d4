package coordinator

import (
	"math/rand/v2"
	"time"

	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// InjectFault does one thing to the coordinators, their ways or the holders, waits for up to two times of a session, and undoes it.
func (g *Group) InjectFault(random *rand.Rand, ttl time.Duration, holders []*process.Process) (what string) {
	target := g.Members[random.IntN(len(g.Members))]
	if i := g.Leader(); i >= 0 && random.IntN(3) > 0 {
		target = g.Members[i]
	}
	duration := time.Duration(random.IntN(int(2 * ttl)))
	wait := func() { <-time.After(duration) } // how long a fault lasts is part of it
	both := func(l *link.Link, held bool) { l.Block(link.Forward, held); l.Block(link.Backward, held) }
	switch what = []string{"kill", "kill all", "stop", "cut", "cut in", "cut out", "clients cut", "slow", "reset", "holders stopped"}[random.IntN(10)]; what {
	case "kill":
		target.KillAndWait()
		wait()
		target.Start()
	case "kill all":
		g.KillAll()
	case "stop":
		target.Pause()
		wait()
		target.Resume()
	case "cut", "cut in", "cut out": // from the others, not from clients; what is held back comes late
		target.Partition(true, what != "cut out", what != "cut in")
		wait()
		target.Partition(false, true, true)
	case "clients cut":
		both(g.ClientLinks[target.Index], true)
		wait()
		both(g.ClientLinks[target.Index], false)
	case "slow":
		for _, l := range target.PeerLinks {
			l.Slow(30 * time.Millisecond)
		}
		wait()
		for _, l := range target.PeerLinks {
			l.Slow(0)
		}
	case "reset":
		for _, l := range append(target.PeerLinks, g.ClientLinks...) {
			l.Reset()
		}
	case "holders stopped": // for longer than the lease, in the middle of whatever it does
		for _, h := range holders[:len(holders)/2] {
			h.Pause()
		}
		duration += ttl
		wait()
		for _, h := range holders[:len(holders)/2] {
			h.Resume()
		}
	}
	return what
}
