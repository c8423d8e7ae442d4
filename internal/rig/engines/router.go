package engines

import (
	"fmt"
	"time"

	"petrelhook/internal/router/placement"
)

// router has the real placement, and reports to its distributor.
type router struct {
	sim         *simulation
	index       int
	zone        int
	distributor *distributor
	pool        *placement.Pool
	views       []*placement.Server  // what it knows of the servers, by their index
	uses        placement.PrefixUses // not yet reported
	picks       int                  // of round robin
}

// load is what a router believes to be the load of a server.
func (r *router) load(i int) float64 { return r.views[i].Load(r.sim.schedule.now) }

// reportUses sends the prefix uses since the last report to the distributor.
func (r *router) reportUses() {
	if len(r.uses.Keys) == 0 {
		return
	}
	report := r.uses
	r.uses = placement.PrefixUses{}
	r.sim.schedule.after(r.sim.spec.Network.InZoneDelay, func() {
		r.distributor.forRouters = append(r.distributor.forRouters, report)
		r.distributor.forPeers = append(r.distributor.forPeers, report)
	})
}

// applyUses records the uses that a distributor forwarded.
func (r *router) applyUses(reports []placement.PrefixUses) {
	for _, report := range reports {
		for key, id := range report.All() {
			r.pool.RecordUse(key, id, r.sim.schedule.now)
		}
	}
}

// reportLoads sends the pending work of its own requests to the distributor.
func (r *router) reportLoads() {
	sums := placement.LoadSums{}
	r.pool.AddLoads(sums)
	r.sim.schedule.after(r.sim.spec.Network.InZoneDelay, func() {
		r.distributor.board.Put(r.name(), false, sums, r.sim.schedule.now)
	})
}

// name identifies it in load reports.
func (r *router) name() string { return fmt.Sprint("r", r.index) }

// distributor forwards reports between its routers and the other distributors.
type distributor struct {
	sim        *simulation
	index      int
	zone       int
	board      *placement.LoadAggregator
	routers    []*router
	forRouters []placement.PrefixUses // not yet forwarded
	forPeers   []placement.PrefixUses // not yet forwarded
}

// name identifies it in load reports.
func (d *distributor) name() string { return fmt.Sprint("h", d.index) }

// delayTo is the delay of a message to another distributor.
func (d *distributor) delayTo(peer *distributor) time.Duration { return d.sim.delay(d.zone, peer.zone) }

// forwardUses sends its routers all uses, and its peers those of its routers.
func (d *distributor) forwardUses() {
	forRouters, forPeers := d.forRouters, d.forPeers
	d.forRouters, d.forPeers = nil, nil
	if len(forRouters) > 0 {
		d.sim.schedule.after(d.sim.spec.Network.InZoneDelay, func() {
			for _, r := range d.routers {
				r.applyUses(forRouters)
			}
		})
	}
	if len(forPeers) == 0 {
		return
	}
	for _, peer := range d.sim.distributors {
		if peer != d {
			d.sim.schedule.after(d.delayTo(peer), func() { peer.forRouters = append(peer.forRouters, forPeers...) })
		}
	}
}

// forwardLoads sends its peers the work of its routers, and each router that of all others.
func (d *distributor) forwardLoads() {
	d.board.Expire(d.sim.schedule.now)
	sums := d.board.ForPeers()
	for _, peer := range d.sim.distributors {
		if peer != d {
			d.sim.schedule.after(d.delayTo(peer), func() { peer.board.Put(d.name(), true, sums, d.sim.schedule.now) })
		}
	}
	all := d.board.All()
	for _, r := range d.routers {
		others := d.board.Others(all, r.name())
		d.sim.schedule.after(d.sim.spec.Network.InZoneDelay, func() { r.pool.SetPeerLoads(others, d.sim.schedule.now) })
	}
}
