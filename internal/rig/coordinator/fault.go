package coordinator

import (
	"math/rand/v2"
	"time"

	"petrelhook/internal/rig/link"
	"petrelhook/internal/rig/process"
)

// faultKinds are the kinds of faults that InjectFault draws from.
var faultKinds = []string{"kill", "kill all", "pause", "partition", "partition in", "partition out", "partition from clients", "slow links", "reset links",
	"pause holders"}

// InjectFault injects a random fault into the coordinators, their links or the holders of leases, waits for up to two TTLs of a session,
// and undoes it. It returns the kind of the fault, for the test's log. In two of three cases its target is the leader.
func (g *Group) InjectFault(random *rand.Rand, ttl time.Duration, holders []*process.Process) (kind string) {
	target := g.Members[random.IntN(len(g.Members))]
	if i := g.Leader(); i >= 0 && random.IntN(3) > 0 {
		target = g.Members[i]
	}
	duration := time.Duration(random.IntN(int(2 * ttl)))
	wait := func() { <-time.After(duration) }
	kind = faultKinds[random.IntN(len(faultKinds))]
	switch kind {
	case "kill":
		target.KillAndWait()
		wait()
		target.Start()
	case "kill all":
		g.KillAll()
	case "pause":
		target.Pause()
		wait()
		target.Resume()
	case "partition", "partition in", "partition out": // from the other members, not from clients; blocked messages arrive late
		target.Partition(true, kind != "partition out", kind != "partition in")
		wait()
		target.Partition(false, true, true)
	case "partition from clients":
		blockBoth(g.ClientLinks[target.Index], true)
		wait()
		blockBoth(g.ClientLinks[target.Index], false)
	case "slow links":
		for _, l := range target.PeerLinks {
			l.Slow(30 * time.Millisecond)
		}
		wait()
		for _, l := range target.PeerLinks {
			l.Slow(0)
		}
	case "reset links":
		for _, l := range append(target.PeerLinks, g.ClientLinks...) {
			l.Reset()
		}
	case "pause holders": // half of them, for longer than the lease, at any point of their work
		for _, h := range holders[:len(holders)/2] {
			h.Pause()
		}
		duration += ttl
		wait()
		for _, h := range holders[:len(holders)/2] {
			h.Resume()
		}
	}
	return kind
}

// blockBoth blocks a link in both directions, or unblocks it.
func blockBoth(l *link.Link, blocked bool) {
	l.Block(link.Forward, blocked)
	l.Block(link.Backward, blocked)
}
