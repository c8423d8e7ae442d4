package engines

import (
	"fmt"
	"math/rand/v2"
	"time"

	"petrelhook/internal/router/placement"
)

// simulation is one policy with one day's arrivals.
type simulation struct {
	spec         *Spec
	policy       policy
	schedule     *schedule
	random       *rand.Rand
	servers      []*server
	routers      []*router
	distributors []*distributor
	score        *score
}

// drainTime is the time after the last request in which answers still count.
const drainTime = 20 * time.Second

// simulate plays a day's arrivals under a policy, and returns its score.
func simulate(s *Spec, p policy, list []arrival, seed uint64) *score {
	sim := &simulation{spec: s, policy: p, schedule: &schedule{}, random: rand.New(rand.NewPCG(seed, 1<<32)), score: newScore(s)}
	for i := range s.Servers {
		sim.servers = append(sim.servers, newServer(sim.schedule, &s.Engine, i, i%s.Zones))
	}
	for i := range s.Zones * s.Distributors {
		sim.distributors = append(sim.distributors, &distributor{sim: sim, index: i, zone: i % s.Zones, board: placement.NewLoadAggregator()})
	}
	for i := range s.Routers {
		sim.addRouter(i)
	}
	sim.scheduleReports()
	sim.scheduleFaults()
	for i := range list {
		a := &list[i]
		sim.schedule.at(a.at, func() { sim.startRequest(a) })
	}
	sim.schedule.run(s.Duration + drainTime)
	sim.score.finish(sim)
	return sim.score
}

// serverName is a server's ID; these have no order by index.
func serverName(i int) string { return fmt.Sprintf("i-%08x", uint32(i)*2654435761) }

// zoneName is a zone's name.
func zoneName(i int) string { return fmt.Sprint("zone-", i) }

// addRouter adds router i, with its view of all servers, to a distributor of its zone.
func (sim *simulation) addRouter(i int) {
	r := &router{sim: sim, index: i, zone: i % sim.spec.Zones}
	r.distributor = sim.distributors[r.zone+sim.spec.Zones*(i/sim.spec.Zones%sim.spec.Distributors)]
	r.distributor.routers = append(r.distributor.routers, r)
	r.pool = placement.NewPool(zoneName(r.zone), sim.spec.PrefixTTL, sim.policy.placement, sim.random.Float64)
	index := map[string]int{}
	for _, s := range sim.servers {
		r.pool.Put(placement.Endpoint{ID: serverName(s.index), Zone: zoneName(s.zone), Slots: sim.spec.Engine.Slots})
		index[serverName(s.index)] = s.index
	}
	r.views = make([]*placement.Server, len(sim.servers))
	for _, view := range r.pool.Servers() {
		r.views[index[view.ID]] = view
	}
	sim.routers = append(sim.routers, r)
}

// scheduleReports starts the messages between routers.
func (sim *simulation) scheduleReports() {
	network := &sim.spec.Network
	phase := func(period time.Duration) time.Duration { return time.Duration(sim.random.Int64N(int64(period))) }
	for _, r := range sim.routers {
		sim.schedule.every(phase(network.UsesInterval), network.UsesInterval, r.reportUses)
		sim.schedule.every(phase(network.LoadsInterval), network.LoadsInterval, r.reportLoads)
	}
	for _, d := range sim.distributors {
		sim.schedule.every(phase(network.UsesInterval), network.UsesInterval, d.forwardUses)
		sim.schedule.every(phase(network.LoadsInterval), network.LoadsInterval, d.forwardLoads)
	}
}

// delay is that of a message from a zone to another.
func (sim *simulation) delay(from, to int) time.Duration {
	if from == to {
		return sim.spec.Network.InZoneDelay
	}
	return sim.spec.Network.CrossZoneDelay
}

// scheduleFaults schedules the faults of servers.
func (sim *simulation) scheduleFaults() {
	for _, fault := range sim.spec.Faults {
		if fault.Kind != FaultSlow && fault.Kind != FaultCrash {
			continue
		}
		n := max(1, int(fault.Fraction*float64(len(sim.servers))+0.5))
		for _, i := range sim.random.Perm(len(sim.servers))[:n] {
			s := sim.servers[i]
			if fault.Kind == FaultSlow {
				sim.schedule.at(fault.Start, func() { s.slowFactor = fault.Factor })
				sim.schedule.at(fault.Start+fault.Duration, func() { s.slowFactor = 1 })
				continue
			}
			sim.schedule.at(fault.Start, s.crash)
			sim.schedule.at(fault.Start+fault.Duration, func() { s.down = false })
		}
	}
}
