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

// worstDay is a random schedule of what operators fear: machines that join, are replaced and leave while messages of
// one type are lost or delayed, candidacies that are interrupted, and losses as close to each other as the deployment's
// page permits.
type worstDay struct {
	*simulation
	nextLossAt    time.Duration // the next machine may be lost then: the one before does not count any more
	addedMachines int           // machines that were added
	writes        int
}

const (
	episodesPerDay = 8
	recoveryTime   = 12 * time.Second
	closingSync    = 20 * time.Millisecond
)

// electionMessages are the types that an episode loses or delays.
var electionMessages = []Message{Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Heartbeat{}, HeartbeatAck{}, Replicate{},
	Replicated{}, MissingEntries{}, SnapshotChunk{}, LearnerAck{}, PreVoteReply{}}

func playWorstDay(t testing.TB, seed int64, mutate func(*simulation)) *worstDay {
	t.Helper()
	d := &worstDay{simulation: newSimulation(t, seed, 3+int(seed%2), 1)}
	if mutate != nil {
		mutate(d.simulation)
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

// runClients has clients propose and read for a time.
func (d *worstDay) runClients(during time.Duration) {
	for until := d.now + during; d.now < until; {
		if p := d.primary(); p != nil {
			d.writes++
			d.write(1, p.machine.Version, fmt.Sprint("w", d.writes))
			d.read(2)
		}
		for _, h := range d.ordered() { // every process that says it is primary, reachable or not
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
	d.loss, d.mutate = 0, nil
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

// abandonChange has two machines join, loses the Accept of the view that adds them, and has the primary propose again
// while a random partition begins.
func (d *worstDay) abandonChange() {
	if len(d.hosts) > 4 || d.primary() == nil {
		return
	}
	p := d.primary()
	d.addMachines()
	d.addMachines()
	lost := true
	d.mutate = func(_ *process, m Message) Message {
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
			d.startInOwnZones(fmt.Sprintf("10.1.%d.1:7000", d.addedMachines))
		}
	}
}

// replaceMachine replaces a machine; it counts as lost from its end until its successor has been there for CatchUpS.
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

// countAsLoss has machines count as lost during a fault that begins now and for CatchUpS after it. It returns the
// fault's duration.
func (d *worstDay) countAsLoss(during time.Duration) time.Duration {
	d.nextLossAt = max(d.nextLossAt, d.now+during+catchUpTime)
	return during
}

// loseOneMessageType loses or delays the messages of one type for some seconds, to all or to some.
func (d *worstDay) loseOneMessageType() {
	kind := reflect.TypeOf(electionMessages[d.random.Intn(len(electionMessages))])
	hosts := d.ordered()
	spared := hosts[:d.random.Intn(len(hosts)+1)]
	d.mutate = func(to *process, m Message) Message {
		if reflect.TypeOf(m) != kind || slices.Contains(spared, to.host) {
			return m
		}
		if d.random.Intn(2) == 0 {
			d.after(time.Duration(d.random.Intn(1500))*time.Millisecond, func() { d.runIn(to, func() { to.replica.Receive(candidateAddress(m), m, d.clock(to.host)) }) })
		}
		return nil
	}
	d.after(d.countAsLoss(time.Duration(500+d.random.Intn(2500))*time.Millisecond), func() { d.mutate = nil })
}

// candidateAddress returns the address of a message's sender where the message has it: answers to other messages are
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

// interruptCandidacy has a replica campaign, and partitions it from some others once it is in some phase.
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

// loseAllPower: right after one more change was acknowledged all lose power, and some their disks.
func (d *worstDay) loseAllPower(disks int) {
	p := d.primary()
	if p == nil || d.now < d.nextLossAt {
		return
	}
	for _, h := range d.ordered() { // an answer before the sync is noticed with disks that are no faster than the network
		h.syncTime = closingSync
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

// violation says what is wrong with a worst day, or is "". All machines are in sync at its end, but for one whose zone
// has a member.
func (d *worstDay) violation() string {
	if d.restoreError != nil {
		return d.restoreError.Error()
	}
	if fault := linearizable(d.history); fault != "" {
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
			return fmt.Sprintf("%s is a member, and gone", m.ID)
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

// maxWorstDaysUntilNoticed: a guard that is removed has to be noticed within so many worst days.
const maxWorstDaysUntilNoticed = 2_000

// A disk that answers before it has synced is noticed.
func TestWorstDaysNotice(t *testing.T) {
	var noticed atomic.Int64
	noticed.Store(-1)
	runSeedsInParallel(t, maxWorstDaysUntilNoticed, func(seed int64) bool {
		if playWorstDay(t, seed, func(s *simulation) { s.lyingDisks = true }).violation() == "" {
			return true
		}
		noticed.Store(seed)
		return false
	})
	require.GreaterOrEqual(t, noticed.Load(), int64(0), "not noticed")
	t.Logf("noticed by worst day %d", noticed.Load())
}
