package engines

import (
	"fmt"
	"math/rand/v2"
	"time"

	"petrelhook/internal/router/placement"
)

const service = "llm"

// fleet is one play.
type fleet struct {
	spec     *Spec
	policy   policy
	schedule *schedule
	random   *rand.Rand
	servers  []*server
	routers  []*router
	homes    []*home
	score    *score
}

// router is one sidecar.
type router struct {
	f     *fleet
	index int
	zone  int
	home  *home
	pool  *placement.Pool
	known []*placement.Server  // by the servers' order
	uses  placement.PrefixUses // not yet told
	turn  int
}

// home is one control sidecar.
type home struct {
	f     *fleet
	index int
	board *placement.LoadBoard
	own   []*router
	down  []placement.PrefixUses // to tell its subscribers
	up    []placement.PrefixUses // to tell other homes
}

func play(s *Spec, p policy, list []arrival, seed uint64) *score {
	f := &fleet{spec: s, policy: p, schedule: &schedule{}, random: rand.New(rand.NewPCG(seed, 1<<32)), score: newScore(s)}
	for i := range s.Servers {
		f.servers = append(f.servers, newServer(f.schedule, &s.Engine, i, i%s.Zones))
	}
	for i := range s.Zones * s.Homes {
		f.homes = append(f.homes, &home{f: f, index: i, board: placement.NewLoadBoard()})
	}
	for i := range s.Routers {
		f.addRouter(i)
	}
	f.tell()
	f.plan()
	for i := range list {
		a := &list[i]
		f.schedule.at(a.at, func() { f.begin(a) })
	}
	f.schedule.run(s.Length + settle)
	f.score.finish(f)
	return f.score
}

// settle is for how long answers are awaited after the last request.
const settle = 20 * time.Second

// Names in the order of the servers, and of the zones.
func serverName(i int) string { return fmt.Sprintf("i-%08x", uint32(i)*2654435761) }
func zoneName(i int) string   { return fmt.Sprint("zone-", i) }

func (f *fleet) addRouter(i int) {
	r := &router{f: f, index: i, zone: i % f.spec.Zones}
	r.home = f.homes[r.zone+f.spec.Zones*(i/f.spec.Zones%f.spec.Homes)]
	r.home.own = append(r.home.own, r)
	r.pool = placement.NewPool(zoneName(r.zone), f.spec.Again, f.policy.place, f.random.Float64)
	for _, s := range f.servers {
		r.pool.Put(placement.Server{ID: serverName(s.index), Zone: zoneName(s.zone), Slots: f.spec.Engine.Slots})
	}
	r.known = make([]*placement.Server, len(f.servers))
	byID := map[string]int{}
	for _, s := range f.servers {
		byID[serverName(s.index)] = s.index
	}
	for _, k := range r.pool.Servers() {
		r.known[byID[k.ID]] = k
	}
	f.routers = append(f.routers, r)
}

// tell starts the messages between routers.
func (f *fleet) tell() {
	phase := func(period time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(period))) }
	for _, r := range f.routers {
		f.schedule.every(phase(f.spec.Network.Uses), f.spec.Network.Uses, r.tellUses)
		f.schedule.every(phase(f.spec.Network.Loads), f.spec.Network.Loads, r.tellLoads)
	}
	for _, h := range f.homes {
		f.schedule.every(phase(f.spec.Network.Uses), f.spec.Network.Uses, h.tellUses)
		f.schedule.every(phase(f.spec.Network.Loads), f.spec.Network.Loads, h.tellLoads)
	}
}

func (f *fleet) way(a, b int) time.Duration {
	if a == b {
		return f.spec.Network.InZone
	}
	return f.spec.Network.Cross
}

func (r *router) tellUses() {
	if len(r.uses.Keys) == 0 {
		return
	}
	told := r.uses
	r.uses = placement.PrefixUses{}
	r.f.schedule.at(r.f.schedule.now+r.f.spec.Network.InZone, func() {
		r.home.down = append(r.home.down, told)
		r.home.up = append(r.home.up, told)
	})
}

func (h *home) tellUses() {
	down, up := h.down, h.up
	h.down, h.up = nil, nil
	if len(down) > 0 {
		h.f.schedule.at(h.f.schedule.now+h.f.spec.Network.InZone, func() {
			for _, r := range h.own {
				r.note(down)
			}
		})
	}
	if len(up) == 0 {
		return
	}
	for _, other := range h.f.homes {
		if other != h {
			h.f.schedule.at(h.f.schedule.now+h.f.way(h.index%h.f.spec.Zones, other.index%h.f.spec.Zones), func() { other.down = append(other.down, up...) })
		}
	}
}

func (r *router) note(list []placement.PrefixUses) {
	for _, u := range list {
		for key, id := range u.All() {
			r.pool.RecordUse(key, id, r.f.schedule.now)
		}
	}
}

func (r *router) tellLoads() {
	sums := placement.LoadSums{}
	r.pool.AddLoads(sums)
	r.f.schedule.at(r.f.schedule.now+r.f.spec.Network.InZone, func() { r.home.board.Put(fmt.Sprint("r", r.index), false, sums, r.f.schedule.now) })
}

func (h *home) tellLoads() {
	now := h.f.schedule.now
	h.board.Expire(now)
	mine := h.board.ForPeers()
	for _, other := range h.f.homes {
		if other != h {
			h.f.schedule.at(now+h.f.way(h.index%h.f.spec.Zones, other.index%h.f.spec.Zones), func() { other.board.Put(fmt.Sprint("h", h.index), true, mine, h.f.schedule.now) })
		}
	}
	all := h.board.All()
	for _, r := range h.own {
		others := h.board.Others(all, fmt.Sprint("r", r.index))
		h.f.schedule.at(now+h.f.spec.Network.InZone, func() { r.pool.SetPeerLoads(others, h.f.schedule.now) })
	}
}

// plan schedules the faults of servers.
func (f *fleet) plan() {
	for _, fault := range f.spec.Faults {
		if fault.Kind != FaultSlow && fault.Kind != FaultCrash {
			continue
		}
		n := max(1, int(fault.Share*float64(len(f.servers))+0.5))
		for _, i := range f.random.Perm(len(f.servers))[:n] {
			s := f.servers[i]
			if fault.Kind == FaultSlow {
				f.schedule.at(fault.At, func() { s.slow = fault.Factor })
				f.schedule.at(fault.At+fault.For, func() { s.slow = 1 })
				continue
			}
			f.schedule.at(fault.At, s.crash)
			f.schedule.at(fault.At+fault.For, func() { s.down = false })
		}
	}
}
