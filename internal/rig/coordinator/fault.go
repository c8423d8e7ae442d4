package coordinator

import (
	"math/rand/v2"
	"time"

	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// InjectFault injects a random fault into the coordinators, their links or the holders, waits for up to two TTLs of a session, and
// undoes it. It returns the kind of the fault. Mostly it befalls the leader.
func (g *Group) InjectFault(random *rand.Rand, ttl time.Duration, holders []*process.Process) (what string) {
	target := g.Members[random.IntN(len(g.Members))]
	if i := g.Leader(); i >= 0 && random.IntN(3) > 0 {
		target = g.Members[i]
	}
	duration := time.Duration(random.IntN(int(2 * ttl)))
	wait := func() { <-time.After(duration) }
	block := func(l *link.Link, blocked bool) { l.Block(link.Forward, blocked); l.Block(link.Backward, blocked) }
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
	case "cut", "cut in", "cut out": // from the others, not from clients; blocked messages arrive late
		target.Partition(true, what != "cut out", what != "cut in")
		wait()
		target.Partition(false, true, true)
	case "clients cut":
		block(g.ClientLinks[target.Index], true)
		wait()
		block(g.ClientLinks[target.Index], false)
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
	case "holders stopped": // for longer than the lease, at any point of their work
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
