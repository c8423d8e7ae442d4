package replication

import (
	"fmt"
	"testing"
	"time"
)

// Worst days of cores of five and six machines, of which two may be lost at once. In addition to the episodes of smaller
// cores, links are cut in one direction, disks stall, steady clocks jump ahead, a machine is replaced while another one is
// down, two are replaced in turn, two disks are lost together, and at the end two with all power.

const (
	stalledSync  = 600 * time.Millisecond // of a disk that stalls: longer than the election time-out
	largestLeap  = 10 * time.Second       // of a clock, as that of a machine that was suspended
	usualSync    = 2 * time.Millisecond
	disksLostNow = 2
)

func playLargerWorstDay(t testing.TB, seed int64, mutate func(*simulation)) *worstDay {
	t.Helper()
	d := &worstDay{simulation: newSimulation(t, seed, 5+int(seed%2), disksLostNow)}
	if mutate != nil {
		mutate(d.simulation)
	}
	d.run(6 * time.Second)
	for range episodesPerDay {
		d.largerEpisode()
		d.runClients(time.Duration(200+d.random.Intn(2500)) * time.Millisecond)
	}
	d.endFaults()
	for _, h := range d.ordered() {
		h.syncTime = usualSync
	}
	d.run(max(d.now, d.nextLossAt) + recoveryTime)
	d.loseAllPower(disksLostNow)
	return d
}

func (d *worstDay) largerEpisode() {
	switch d.random.Intn(12) {
	case 0, 1:
		d.cutOneWay()
	case 2, 3:
		d.stallDisks()
	case 4:
		d.leapClocks()
	case 5:
		d.replaceWhileOneIsDown()
	case 6:
		d.replaceTwoInTurn()
	case 7:
		d.loseTwoDisks()
	default:
		d.smallerEpisode()
	}
}

// smallerEpisode is one of those of smaller cores that leave the number of machines as it is.
func (d *worstDay) smallerEpisode() {
	switch d.random.Intn(5) {
	case 0:
		d.loseOneMessageType()
	case 1:
		d.interruptCandidacy()
	case 2:
		d.partitionRandomly()
	case 3:
		d.restartAll()
	case 4:
		d.endFaults()
	}
}

// restartAll kills all machines, and starts each again a little later.
func (d *worstDay) restartAll() {
	for _, h := range d.ordered() {
		d.kill(h)
		d.after(d.countAsLoss(time.Duration(300+d.random.Intn(500))*time.Millisecond), func() { d.boot(h) })
	}
}

// cutOneWay loses what one machine sends to some others, or what these send to it.
func (d *worstDay) cutOneWay() {
	h, outward := d.randomHost(), d.random.Intn(2) == 0
	for _, other := range d.ordered() {
		switch {
		case other == h || d.random.Intn(3) == 0:
		case outward:
			d.blockLink(h, other, true)
		default:
			d.blockLink(other, h, true)
		}
	}
	d.after(d.countAsLoss(time.Duration(300+d.random.Intn(4000))*time.Millisecond), d.heal)
}

// stallDisks has the disks of one or two machines take very long for each sync.
func (d *worstDay) stallDisks() {
	until := d.countAsLoss(time.Duration(500+d.random.Intn(3000)) * time.Millisecond)
	for range 1 + d.random.Intn(2) {
		h := d.randomHost()
		h.syncTime = stalledSync
		d.after(until, func() { h.syncTime = usualSync })
	}
}

// leapClocks has the steady clocks of one or two machines leap ahead.
func (d *worstDay) leapClocks() {
	for range 1 + d.random.Intn(2) {
		d.randomHost().clockAhead += time.Duration(d.random.Int63n(int64(largestLeap)))
	}
	d.countAsLoss(0)
}

// awaitNoLoss runs until no machine counts as lost: then two may be lost at once.
func (d *worstDay) awaitNoLoss() { d.run(max(d.now, d.nextLossAt)) }

// newAddress is one that no machine had before.
func (d *worstDay) newAddress() string {
	d.addedMachines++
	return fmt.Sprintf("10.2.%d.1:7000", d.addedMachines)
}

// replaceWhileOneIsDown replaces a machine while another one is down, which comes back with its disk.
func (d *worstDay) replaceWhileOneIsDown() {
	d.awaitNoLoss()
	down, old := d.twoHosts()
	if down.process == nil || old.process == nil {
		return
	}
	d.kill(down)
	d.after(time.Duration(500+d.random.Intn(4000))*time.Millisecond, func() { d.boot(down) })
	d.replace(old, d.newAddress(), d.random.Intn(2) == 0)
	d.nextLossAt = d.now + 4*time.Second + catchUpTime
}

// replaceTwoInTurn replaces one machine, and another one as soon as the successor of the first does not count as lost.
func (d *worstDay) replaceTwoInTurn() {
	d.awaitNoLoss()
	one, other := d.twoHosts()
	for _, old := range []*host{one, other} {
		if old.process == nil {
			continue
		}
		d.replace(old, d.newAddress(), true)
		d.nextLossAt = d.now - successorLead + catchUpTime
		d.run(d.nextLossAt)
	}
}

// loseTwoDisks loses two disks at the same moment.
func (d *worstDay) loseTwoDisks() {
	d.awaitNoLoss()
	one, other := d.twoHosts()
	away := time.Duration(300+d.random.Intn(1500)) * time.Millisecond
	for _, h := range []*host{one, other} {
		d.kill(h)
		d.wipe(h)
		d.after(away, func() { d.boot(h) })
	}
	d.nextLossAt = d.now + away + catchUpTime
}

// twoHosts draws two machines.
func (d *worstDay) twoHosts() (one, other *host) {
	hosts := d.ordered()
	first := d.random.Intn(len(hosts))
	return hosts[first], hosts[(first+1+d.random.Intn(len(hosts)-1))%len(hosts)]
}

// The schedules of a run; PETRELHOOK_SCHEDULES plays more.
func TestWorstDaysOfLargerCores(t *testing.T) {
	runSeedsInParallel(t, scheduleCount(t, largerWorstDays), func(seed int64) bool {
		if fault := playLargerWorstDay(t, seed, nil).violation(); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
			return false
		}
		return true
	})
}

// A disk that answers before it has synced is noticed in larger cores too.
func TestWorstDaysOfLargerCoresNotice(t *testing.T) {
	noticed := int64(-1)
	for seed := int64(0); seed < maxWorstDaysUntilNoticed && noticed < 0; seed++ {
		if playLargerWorstDay(t, seed, func(s *simulation) { s.lyingDisks = true }).violation() != "" {
			noticed = seed
		}
	}
	if noticed < 0 {
		t.Error("not noticed")
	}
	t.Logf("noticed by worst day %d", noticed)
}
