package replication

import (
	"fmt"
	"testing"
	"time"
)

// This file has the worst days of cores of five and six machines, of which two may be lost at once. In addition to the
// episodes of smaller cores, links are blocked in one direction, disks stall, monotonic clocks jump ahead, a machine is
// replaced while another one is down, two machines are replaced in turn, and two disks are lost together. At the end all
// machines lose power and two of them their disks.

const (
	stalledSyncTime = 600 * time.Millisecond // of a disk that stalls: as long as the election timeout
	maxClockJump    = 10 * time.Second       // of a clock, like that of a machine that was suspended
	usualSyncTime   = 2 * time.Millisecond
	disksLostAtOnce = 2
)

func playLargerWorstDay(t testing.TB, seed int64, configure func(*simulation)) *worstDay {
	t.Helper()
	d := &worstDay{simulation: newSimulation(t, seed, 5+int(seed%2), disksLostAtOnce)}
	if configure != nil {
		configure(d.simulation)
	}
	d.run(6 * time.Second)
	for range episodesPerDay {
		d.largerEpisode()
		d.runClients(time.Duration(200+d.random.Intn(2500)) * time.Millisecond)
	}
	d.endFaults()
	for _, h := range d.ordered() {
		h.syncTime = usualSyncTime
	}
	d.run(max(d.now, d.nextLossAt) + recoveryTime)
	d.loseAllPower(disksLostAtOnce)
	return d
}

func (d *worstDay) largerEpisode() {
	switch d.random.Intn(12) {
	case 0, 1:
		d.cutOneWay()
	case 2, 3:
		d.stallDisks()
	case 4:
		d.jumpClocks()
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

// smallerEpisode runs an episode of smaller cores that does not change the number of machines.
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

// cutOneWay blocks the links from one machine to some others, or the links from these to it.
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

// stallDisks makes each sync of one or two machines take stalledSyncTime.
func (d *worstDay) stallDisks() {
	until := d.countAsLoss(time.Duration(500+d.random.Intn(3000)) * time.Millisecond)
	for range 1 + d.random.Intn(2) {
		h := d.randomHost()
		h.syncTime = stalledSyncTime
		d.after(until, func() { h.syncTime = usualSyncTime })
	}
}

// jumpClocks makes the monotonic clocks of one or two machines jump ahead.
func (d *worstDay) jumpClocks() {
	for range 1 + d.random.Intn(2) {
		d.randomHost().clockOffset += time.Duration(d.random.Int63n(int64(maxClockJump)))
	}
	d.countAsLoss(0)
}

// awaitNoLostMachine runs until no machine counts as lost. Then two may be lost at once.
func (d *worstDay) awaitNoLostMachine() { d.run(max(d.now, d.nextLossAt)) }

// newAddress returns an address that no machine has had before.
func (d *worstDay) newAddress() string {
	d.addedMachines++
	return fmt.Sprintf("10.2.%d.1:7000", d.addedMachines)
}

// replaceWhileOneIsDown replaces a machine while another one is down, which returns with its disk.
func (d *worstDay) replaceWhileOneIsDown() {
	d.awaitNoLostMachine()
	down, old := d.twoHosts()
	if down.process == nil || old.process == nil {
		return
	}
	d.kill(down)
	d.after(time.Duration(500+d.random.Intn(4000))*time.Millisecond, func() { d.boot(down) })
	d.replace(old, d.newAddress(), d.random.Intn(2) == 0)
	d.nextLossAt = d.now + 4*time.Second + catchUpTime
}

// replaceTwoInTurn replaces one machine, and another one as soon as the successor of the first no longer counts as lost.
func (d *worstDay) replaceTwoInTurn() {
	d.awaitNoLostMachine()
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
	d.awaitNoLostMachine()
	one, other := d.twoHosts()
	away := time.Duration(300+d.random.Intn(1500)) * time.Millisecond
	for _, h := range []*host{one, other} {
		d.kill(h)
		d.wipe(h)
		d.after(away, func() { d.boot(h) })
	}
	d.nextLossAt = d.now + away + catchUpTime
}

// twoHosts draws two different machines.
func (d *worstDay) twoHosts() (one, other *host) {
	hosts := d.ordered()
	first := d.random.Intn(len(hosts))
	return hosts[first], hosts[(first+1+d.random.Intn(len(hosts)-1))%len(hosts)]
}

// Plays largerWorstDays worst days, or as many as PETRELHOOK_SCHEDULES sets.
func TestWorstDaysOfLargerCores(t *testing.T) {
	runSeedsInParallel(t, scheduleCount(t, largerWorstDays), func(seed int64) bool {
		if fault := playLargerWorstDay(t, seed, nil).violation(); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
			return false
		}
		return true
	})
}

// A disk that acknowledges a save before the sync is detected in larger cores too.
func TestWorstDaysOfLargerCoresNotice(t *testing.T) {
	detected := int64(-1)
	for seed := int64(0); seed < maxWorstDaysUntilDetected && detected < 0; seed++ {
		if playLargerWorstDay(t, seed, func(s *simulation) { s.acksBeforeSync = true }).violation() != "" {
			detected = seed
		}
	}
	if detected < 0 {
		t.Error("not detected")
	}
	t.Logf("detected by worst day %d", detected)
}
