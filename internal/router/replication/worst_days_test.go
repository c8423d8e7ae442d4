package replication

import (
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// worstDay is a random schedule of the faults that are hardest to recover from: machines that join, are replaced and leave
// while messages of one type are lost or delayed, candidacies that are interrupted, and losses in as short a succession as
// the deployment's documentation permits.
type worstDay struct {
	*simulation
	nextLossAt    time.Duration // when the next machine may be lost: the previous one no longer counts as lost
	addedMachines int           // number of machines that were added
	writes        int
}

const (
	episodesPerDay = 8
	recoveryTime   = 12 * time.Second
	finalSyncTime  = 20 * time.Millisecond
)

// replicationMessages are the message types of which an episode loses or delays one.
var replicationMessages = []Message{Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Heartbeat{}, HeartbeatAck{}, Replicate{},
	Replicated{}, MissingEntries{}, SnapshotChunk{}, LearnerAck{}, PreVoteReply{}}

func playWorstDay(t testing.TB, seed int64, configure func(*simulation)) *worstDay {
	t.Helper()
	d := &worstDay{simulation: newSimulation(t, seed, 3+int(seed%2), 1)}
	if configure != nil {
		configure(d.simulation)
	}
	d.run(4 * time.Second)
	for range episodesPerDay {
		d.episode()
		d.runClients(time.Duration(200+d.random.Intn(2500)) * time.Millisecond)
	}
	d.endFaults()
	d.run(d.now + recoveryTime)
	d.loseAllPower(1)
	return d
}

// runClients makes clients propose and read for some time.
func (d *worstDay) runClients(during time.Duration) {
	for until := d.now + during; d.now < until; {
		if p := d.primary(); p != nil {
			d.writes++
			d.write(1, p.machine.Version, fmt.Sprint("w", d.writes))
			d.read(2)
		}
		for _, h := range d.ordered() { // every process that considers itself primary, reachable or not
			if p := h.process; p != nil && p.replica.IsPrimary() && d.random.Intn(4) == 0 {
				d.writes++
				d.callAt(p, operation{client: 3, write: true, base: p.machine.Version, value: fmt.Sprint("w", d.writes)})
				d.callAt(p, operation{client: 4})
			}
		}
		d.run(d.now + time.Duration(50+d.random.Intn(300))*time.Millisecond)
	}
}

func (d *worstDay) endFaults() {
	d.heal()
	d.lossProbability, d.intercept = 0, nil
}

func (d *worstDay) randomHost() *host {
	hosts := d.ordered()
	return hosts[d.random.Intn(len(hosts))]
}

func (d *worstDay) episode() {
	switch d.random.Intn(10) {
	case 0:
		d.addMachines()
	case 1:
		d.replaceMachine(true)
	case 2:
		d.replaceMachine(false)
	case 3:
		d.loseDisk()
	case 4:
		d.loseOneMessageType()
	case 5:
		d.interruptCandidacy()
	case 6:
		d.partitionRandomly()
	case 7:
		for _, h := range d.ordered() {
			d.kill(h)
			d.after(d.countAsLoss(time.Duration(300+d.random.Intn(500))*time.Millisecond), func() { d.boot(h) })
		}
	case 8:
		d.endFaults()
	case 9:
		d.abandonChange()
	}
}

// abandonChange makes machines join, loses the Accept of the view that adds them, and makes the primary propose again while a
// random partition begins.
func (d *worstDay) abandonChange() {
	if len(d.hosts) > 4 || d.primary() == nil {
		return
	}
	p := d.primary()
	d.addMachines()
	d.addMachines()
	lost := true
	d.intercept = func(_ *process, m Message) Message {
		if _, accept := m.(Accept); accept && lost {
			return nil
		}
		return m
	}
	for end := d.now + 2*time.Second; d.now < end && p.host.disk != nil && !p.host.disk.Hard.Accepted.joint(); {
		d.run(d.now + time.Millisecond)
	}
	d.runIn(p, func() { p.replica.campaign(true) })
	d.after(4*time.Millisecond, func() { lost = false })
	d.run(d.now + time.Duration(d.random.Intn(8_000))*time.Microsecond)
	d.partitionRandomly()
}

// addMachines adds one or two machines in zones of their own, while the core is small.
func (d *worstDay) addMachines() {
	for range 1 + d.random.Intn(2) {
		if len(d.hosts) < 6 {
			d.addedMachines++
			d.startInSeparateZones(fmt.Sprintf("10.1.%d.1:7000", d.addedMachines))
		}
	}
}

// replaceMachine replaces a machine, which counts as lost from its end until CatchUpS after its successor's start.
func (d *worstDay) replaceMachine(planned bool) {
	if d.now < d.nextLossAt {
		return
	}
	old := d.randomHost()
	if old.process == nil {
		return
	}
	d.addedMachines++
	d.replace(old, fmt.Sprintf("10.2.%d.1:7000", d.addedMachines), planned)
	d.nextLossAt = d.now - successorLead + catchUpTime
}

// loseDisk loses a disk as soon as that is permitted; its machine counts as lost until CatchUpS after its return.
func (d *worstDay) loseDisk() {
	d.run(max(d.now, d.nextLossAt))
	h := d.randomHost()
	away := time.Duration(300+d.random.Intn(1500)) * time.Millisecond
	d.kill(h)
	d.wipe(h)
	d.after(away, func() { d.boot(h) })
	d.nextLossAt = d.now + away + catchUpTime
}

// countAsLoss makes machines count as lost during a fault that begins now and for CatchUpS after it. It returns the fault's
// duration.
func (d *worstDay) countAsLoss(during time.Duration) time.Duration {
	d.nextLossAt = max(d.nextLossAt, d.now+during+catchUpTime)
	return during
}

// loseOneMessageType loses or delays the messages of one type to all or some machines, for up to some seconds.
func (d *worstDay) loseOneMessageType() {
	messageType := reflect.TypeOf(replicationMessages[d.random.Intn(len(replicationMessages))])
	hosts := d.ordered()
	spared := hosts[:d.random.Intn(len(hosts)+1)]
	d.intercept = func(to *process, m Message) Message {
		if reflect.TypeOf(m) != messageType || slices.Contains(spared, to.host) {
			return m
		}
		if d.random.Intn(2) == 0 {
			d.after(time.Duration(d.random.Intn(1500))*time.Millisecond, func() { d.runIn(to, func() { to.replica.Receive(candidateAddress(m), m, d.clock(to.host)) }) })
		}
		return nil
	}
	d.after(d.countAsLoss(time.Duration(500+d.random.Intn(2500))*time.Millisecond), func() { d.intercept = nil })
}

// candidateAddress returns the address of a message's sender if the message contains it, or "". Answers to other messages are
// lost.
func candidateAddress(m Message) string {
	switch m := m.(type) {
	case Prepare:
		return m.From.Address
	case Accept:
		return m.View.PrimaryAddress()
	}
	return ""
}

// interruptCandidacy makes a replica campaign, and partitions it from some others once it reaches a random phase.
func (d *worstDay) interruptCandidacy() {
	h := d.randomHost()
	p := h.process
	if p == nil {
		return
	}
	d.runIn(p, func() { p.replica.campaign(true) })
	until := electionPhase(d.random.Intn(3))
	for end := d.now + time.Second; d.now < end; {
		if p.replica.role == candidate && p.replica.election.phase >= until {
			break
		}
		d.run(d.now + time.Millisecond)
	}
	for _, other := range d.ordered() {
		if other != h && d.random.Intn(3) > 0 {
			d.blockLink(h, other, d.random.Intn(3) == 0)
		}
	}
	d.after(d.countAsLoss(time.Duration(300+d.random.Intn(2500))*time.Millisecond), d.heal)
}

// partitionRandomly partitions all machines into two groups.
func (d *worstDay) partitionRandomly() {
	var groups [2][]*host
	for _, h := range d.ordered() {
		side := d.random.Intn(2)
		groups[side] = append(groups[side], h)
	}
	d.partition(groups[0], groups[1])
	d.after(d.countAsLoss(time.Duration(300+d.random.Intn(4000))*time.Millisecond), d.heal)
}

// loseAllPower has one more value acknowledged. Right after that all machines lose power, and some of them their disks.
func (d *worstDay) loseAllPower(disks int) {
	p := d.primary()
	if p == nil || d.now < d.nextLossAt {
		return
	}
	for _, h := range d.ordered() { // with disks slower than the network, an acknowledgement before the sync loses the value
		h.syncTime = finalSyncTime
	}
	d.write(1, p.machine.Version, "last")
	for last := len(d.history) - 1; d.history[last].end < 0 && p.host.process == p; {
		d.run(d.now + 200*time.Microsecond)
	}
	first := d.random.Intn(len(d.hosts))
	hosts := d.ordered()
	for _, h := range hosts {
		d.kill(h)
	}
	for i := range disks {
		d.wipe(hosts[(first+i)%len(hosts)])
	}
	for _, h := range d.ordered() {
		h.syncTime = 2 * time.Millisecond
		d.after(time.Duration(d.random.Intn(1000))*time.Millisecond, func() { d.boot(h) })
	}
	d.run(d.now + recoveryTime)
	d.read(9)
	d.run(d.now + time.Second)
}

// violation describes what is wrong after a worst day, or returns "". All members are in sync at its end and their machines
// run; a machine whose zone has another member need not be one.
func (d *worstDay) violation() string {
	if d.restoreError != nil {
		return d.restoreError.Error()
	}
	if fault := linearizabilityViolation(d.history); fault != "" {
		return fault
	}
	p := d.primary()
	if p == nil {
		return "no primary after the faults"
	}
	if last := d.history[len(d.history)-1]; last.status != http.StatusOK {
		return fmt.Sprintf("the last call got %d", last.status)
	}
	v := p.replica.View()
	if len(v.InSync) != len(v.Members) {
		return fmt.Sprintf("%d of %d in sync after the faults", len(v.InSync), len(v.Members))
	}
	for _, m := range v.Members {
		if h := d.hosts[m.Address]; h == nil || h.process == nil || h.process.replica.Self.ID != m.ID {
			return fmt.Sprintf("%s is a member, but its machine or disk is gone", m.ID)
		}
	}
	return ""
}

func TestWorstDays(t *testing.T) {
	runSeedsInParallel(t, scheduleCount(t, 400), func(seed int64) bool {
		if fault := playWorstDay(t, seed, nil).violation(); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
			return false
		}
		return true
	})
}

func TestWorstDaysRepeat(t *testing.T) {
	runSeedsInParallel(t, 12, func(seed int64) bool {
		return assert.Equal(t, playWorstDay(t, seed, nil).history, playWorstDay(t, seed, nil).history, "seed %d", seed)
	})
}

// maxWorstDaysUntilDetected is the number of worst days within which the removal of a guard has to be detected.
const maxWorstDaysUntilDetected = 2_000

// A disk that acknowledges a save before the sync is detected.
func TestWorstDaysNotice(t *testing.T) {
	var detected atomic.Int64
	detected.Store(-1)
	runSeedsInParallel(t, maxWorstDaysUntilDetected, func(seed int64) bool {
		if playWorstDay(t, seed, func(s *simulation) { s.acksBeforeSync = true }).violation() == "" {
			return true
		}
		detected.Store(seed)
		return false
	})
	require.GreaterOrEqual(t, detected.Load(), int64(0), "not detected")
	t.Logf("detected by worst day %d", detected.Load())
}
