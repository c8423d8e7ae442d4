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

// A worst day is a random schedule of what operators fear: machines that join, are replaced and leave while messages of one kind are lost
// or late, candidacies that are broken off, and losses as close to each other as the deployment's page permits.
type worstDay struct {
	*simulation
	nextLossAt    time.Duration // the next machine may be lost then: the one before counts no more
	addedMachines int           // machines that were added
	writes        int
}

const (
	episodesPerDay = 8
	recoveryTime   = 12 * time.Second
	closingSync    = 20 * time.Millisecond
)

// electionMessages are the kinds that an episode loses or delays.
var electionMessages = []Message{Prepare{}, Promise{}, Sync{}, Synced{}, Accept{}, Accepted{}, Heartbeat{}, HeartbeatAck{}, Replicate{},
	Replicated{}, MissingEntries{}, SnapshotChunk{}, LearnerAck{}, PreVoteReply{}}

func playWorstDay(t testing.TB, seed int64, mutate func(*simulation)) *worstDay {
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
	d.closing()
	return d
}

// runClients has clients order and read for a time.
func (d *worstDay) runClients(during time.Duration) {
	for until := d.now + during; d.now < until; {
		if p := d.primary(); p != nil {
			d.writes++
			d.write(1, p.machine.Version, fmt.Sprint("w", d.writes))
			d.read(2)
		}
		for _, h := range d.ordered() { // whoever says that it is primary, in touch or not
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
		d.joinMany()
	case 1:
		d.replaceOne(true)
	case 2:
		d.replaceOne(false)
	case 3:
		d.loseDisk()
	case 4:
		d.loseKind()
	case 5:
		d.breakOffACandidacy()
	case 6:
		d.split()
	case 7:
		for _, h := range d.ordered() {
			d.kill(h)
			d.after(d.countAsLoss(time.Duration(300+d.random.Intn(500))*time.Millisecond), func() { d.boot(h) })
		}
	case 8:
		d.endFaults()
	case 9:
		d.abandonAChange()
	}
}

// abandonAChange has two machines join, loses the view that takes them in on its way from the primary, and has the primary propose again
// while some are cut off at some moment.
func (d *worstDay) abandonAChange() {
	if len(d.hosts) > 4 || d.primary() == nil {
		return
	}
	p := d.primary()
	d.joinMany()
	d.joinMany()
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
	d.split()
}

// joinMany adds one or two machines in zones of their own, as far as the core stays small.
func (d *worstDay) joinMany() {
	for range 1 + d.random.Intn(2) {
		if len(d.hosts) < 6 {
			d.addedMachines++
			d.join(fmt.Sprintf("10.1.%d.1:7000", d.addedMachines))
		}
	}
}

// replaceOne replaces a machine; it counts as lost from its end until its successor has been there for CatchUpS.
func (d *worstDay) replaceOne(planned bool) {
	if d.now < d.nextLossAt {
		return
	}
	old := d.randomHost()
	if old.process == nil {
		return
	}
	d.addedMachines++
	d.replace(old, fmt.Sprintf("10.2.%d.1:7000", d.addedMachines), planned)
	d.nextLossAt = d.now - successorStartLead + catchUpTime
}

// loseDisk takes a disk as soon as that is permitted; its machine counts as lost until CatchUpS after its return.
func (d *worstDay) loseDisk() {
	d.run(max(d.now, d.nextLossAt))
	h := d.randomHost()
	away := time.Duration(300+d.random.Intn(1500)) * time.Millisecond
	d.kill(h)
	d.wipe(h)
	d.after(away, func() { d.boot(h) })
	d.nextLossAt = d.now + away + catchUpTime
}

// countAsLoss gives the end of a disturbance that begins now. Machines count as lost meanwhile, and for CatchUpS after it.
func (d *worstDay) countAsLoss(during time.Duration) time.Duration {
	d.nextLossAt = max(d.nextLossAt, d.now+during+catchUpTime)
	return during
}

// loseKind loses or delays the messages of one kind for some seconds, to all or to one half.
func (d *worstDay) loseKind() {
	kind := reflect.TypeOf(electionMessages[d.random.Intn(len(electionMessages))])
	hosts := d.ordered()
	spared := hosts[:d.random.Intn(len(hosts)+1)]
	d.mutate = func(to *process, m Message) Message {
		if reflect.TypeOf(m) != kind || slices.Contains(spared, to.host) {
			return m
		}
		if d.random.Intn(2) == 0 {
			d.after(time.Duration(d.random.Intn(1500))*time.Millisecond, func() { d.runIn(to, func() { to.replica.Receive(sentBy(m), m, d.now) }) })
		}
		return nil
	}
	d.after(d.countAsLoss(time.Duration(500+d.random.Intn(2500))*time.Millisecond), func() { d.mutate = nil })
}

// sentBy is the address of a message's sender, as far as it says: what is answered to another is lost.
func sentBy(m Message) string {
	switch m := m.(type) {
	case Prepare:
		return m.From.Address
	case Accept:
		return m.View.PrimaryAddress()
	}
	return ""
}

// breakOffACandidacy has somebody campaign, and cuts it off from a part of the others once it is in some phase.
func (d *worstDay) breakOffACandidacy() {
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

// split cuts all into two groups.
func (d *worstDay) split() {
	var groups [2][]*host
	for _, h := range d.ordered() {
		side := d.random.Intn(2)
		groups[side] = append(groups[side], h)
	}
	d.partition(groups[0], groups[1])
	d.after(d.countAsLoss(time.Duration(300+d.random.Intn(4000))*time.Millisecond), d.heal)
}

// closing: right after one more change was acknowledged all lose power, and one its disk.
func (d *worstDay) closing() {
	p := d.primary()
	if p == nil || d.now < d.nextLossAt {
		return
	}
	for _, h := range d.ordered() { // a disk that is no faster than the network is what an early answer is seen by
		h.syncTime = closingSync
	}
	d.write(1, p.machine.Version, "last")
	for last := len(d.history) - 1; d.history[last].end < 0 && p.host.process == p; {
		d.run(d.now + 200*time.Microsecond)
	}
	lost := d.randomHost()
	for _, h := range d.ordered() {
		d.kill(h)
	}
	d.wipe(lost)
	for _, h := range d.ordered() {
		h.syncTime = 2 * time.Millisecond
		d.after(time.Duration(d.random.Intn(1000))*time.Millisecond, func() { d.boot(h) })
	}
	d.run(d.now + recoveryTime)
	d.read(9)
	d.run(d.now + time.Second)
}

// violation says what is wrong with a worst day, or "". All that are there are in sync at its end, but for a machine whose zone has a member.
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
	inShards(t, schedules(t, 400), func(seed int64) bool {
		if fault := playWorstDay(t, seed, nil).violation(); fault != "" {
			t.Errorf("seed %d: %s", seed, fault)
			return false
		}
		return true
	})
}

func TestWorstDaysRepeat(t *testing.T) {
	inShards(t, 12, func(seed int64) bool {
		return assert.Equal(t, playWorstDay(t, seed, nil).history, playWorstDay(t, seed, nil).history, "seed %d", seed)
	})
}

// worstDaysNoticedWithin: a fault that is put back is found within so many worst days.
const worstDaysNoticedWithin = 2_000

// A disk that answers before it has synced is found.
func TestWorstDaysNotice(t *testing.T) {
	var noticed atomic.Int64
	noticed.Store(-1)
	inShards(t, worstDaysNoticedWithin, func(seed int64) bool {
		if playWorstDay(t, seed, func(s *simulation) { s.lyingDisks = true }).violation() == "" {
			return true
		}
		noticed.Store(seed)
		return false
	})
	require.GreaterOrEqual(t, noticed.Load(), int64(0), "not noticed")
	t.Logf("noticed by worst day %d", noticed.Load())
}
