package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/rig/process"
)

// soakRun is one run: a fleet of router processes, servers and clients.
type soakRun struct {
	*fleet
	configuration string                                             // the first one
	handler       func(id string) http.Handler                       // of a server; nil: it records requests
	traffic       func(ctx context.Context, machine int, client int) // plays a client until the context ends
	crashes       []scheduledCrash

	schedule   soakSchedule
	record     soakRecord
	servers    []*recordedServer // the first ones end, in the order of the schedule; the last two stay
	successors []*recordedServer // of the servers that end
	acks       []chan struct{}   // closed on the acknowledgement of each end
	locks      []sync.Mutex      // by machine: held while it is down
	tasks      sync.WaitGroup

	acknowledged atomic.Int64 // generation of the last configuration that was acknowledged
}

// newSoakRun starts the fleet of a seed. The traffic is that of TestDrainSoak.
func newSoakRun(t *testing.T, seed uint64, network string) *soakRun {
	t.Helper()
	s := drawSchedule(seed)
	r := &soakRun{schedule: s, configuration: streamConfiguration, record: soakRecord{requests: map[string]clientRequest{}},
		locks: make([]sync.Mutex, s.coreMembers+s.others)}
	r.traffic = r.sendRequests
	r.fleet = startFleet(t, fleetOptions{coreMembers: s.coreMembers, others: s.others, network: network, heartbeatInterval: soakHeartbeatInterval})
	r.client.Timeout = serverCallTimeout
	return r
}

// newServer starts a server.
func (r *soakRun) newServer(id string) *recordedServer {
	s := newRecordedServer(r.t, r.fleet, id)
	if r.handler != nil {
		s.Config.Handler = r.handler(id)
	}
	return s
}

// play plays the schedule.
func (r *soakRun) play() {
	require.Equal(r.t, http.StatusOK, r.sendOrder("/-/config/replace", 0, r.configuration))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for i := range len(r.schedule.ends) + 2 {
		s := r.newServer(fmt.Sprintf("i-%d", i))
		r.servers = append(r.servers, s)
		s.waitUsed(r.machines)
	}
	stays := r.servers[len(r.schedule.ends):]
	for i, s := range stays {
		r.tasks.Go(func() { r.sendHeartbeats(ctx, s, "ready", i) })
	}
	for i := range r.machines {
		for client := range clientsPerMachine {
			r.tasks.Go(func() { r.traffic(ctx, i, client) })
		}
	}
	for i := range r.schedule.ends {
		r.acks = append(r.acks, make(chan struct{}))
		r.successors = append(r.successors, r.newServer(fmt.Sprintf("i-%d-successor", i)))
	}
	for i := range r.schedule.ends {
		r.tasks.Go(func() { r.endServer(ctx, i) })
	}
	for _, d := range r.schedule.signals {
		r.tasks.Go(func() { r.signalMachines(ctx, d) })
	}
	r.tasks.Go(func() { r.crashServers(ctx) })
	r.tasks.Go(func() { r.sendUpdates(ctx) })
	r.tasks.Go(func() { r.readConfigurations(ctx) })
	wait(ctx, runTime)
	cancel()
	r.tasks.Wait()
}

// wait waits for a time of the schedule, or until the run is over.
func wait(ctx context.Context, d time.Duration) (elapsed bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callAny makes a call of a server to one machine after the other until one acknowledges it.
func (r *soakRun) callAny(ctx context.Context, s *recordedServer, first int, call string, body func() string) (acknowledged bool) {
	for i := 0; ctx.Err() == nil; i++ {
		if s.send(r.machines[(first+i)%len(r.machines)], call, body()) == http.StatusOK {
			return true
		}
		wait(ctx, 20*time.Millisecond)
	}
	return false
}

// sendHeartbeats sends the heartbeats of a server until the context ends.
func (r *soakRun) sendHeartbeats(ctx context.Context, s *recordedServer, state string, machine int) {
	for {
		r.callAny(ctx, s, machine, "heartbeat", func() string { return s.heartbeat(state) })
		if !wait(ctx, soakHeartbeatInterval) {
			return
		}
	}
}

// endServer plays a server that ends: it sends heartbeats until its end, some of which are delayed beyond it.
func (r *soakRun) endServer(ctx context.Context, i int) {
	end, s := r.schedule.ends[i], r.servers[i]
	untilEnd, cancel := context.WithTimeout(ctx, end.at)
	defer cancel()
	if end.lead > 0 {
		r.tasks.Go(func() {
			if wait(ctx, end.at-end.lead) {
				r.sendHeartbeats(ctx, r.successors[i], "ready", end.machine)
			}
		})
	}
	r.sendHeartbeats(untilEnd, s, "ready", end.machine)
	for k, delay := range end.delays {
		delayed := s.heartbeat("ready")
		r.tasks.Go(func() {
			if wait(ctx, delay) {
				r.callAny(ctx, s, end.targets[k], "heartbeat", func() string { return delayed })
			}
		})
	}
	state := "ready"
	if end.call == "heartbeat" {
		state = "draining"
	}
	if !r.callAny(ctx, s, end.machine, end.call, func() string { return s.heartbeat(state) }) {
		return
	}
	r.record.mutex.Lock()
	r.record.ends = append(r.record.ends, acknowledgedEnd{server: s.id, call: end.call, at: time.Now()})
	r.record.mutex.Unlock()
	close(r.acks[i])
	if state == "draining" {
		r.sendHeartbeats(ctx, s, state, end.machine)
	}
}

// crashServers plays servers that are processes of their own and are killed, one after the other.
func (r *soakRun) crashServers(ctx context.Context) {
	for i, crash := range r.crashes {
		s := &recordedServer{f: r.fleet, id: fmt.Sprintf("i-crashes-%d", i), address: peertest.ReserveAddr(r.t)}
		server := process.Start(r.t, process.Self(roleVariable, streamServerRole, s.id, s.address, fmt.Sprint(crash.seed)))
		untilCrash, cancel := context.WithTimeout(ctx, crash.at)
		r.sendHeartbeats(untilCrash, s, "ready", crash.machine)
		cancel()
		server.KillAndWait()
		wait(ctx, crash.downtime)
	}
}

// signalMachines plays a signal.
func (r *soakRun) signalMachines(ctx context.Context, d scheduledSignal) {
	if d.afterEnd >= 0 {
		select {
		case <-r.acks[d.afterEnd]:
		case <-ctx.Done():
			return
		}
	}
	if !wait(ctx, d.at) {
		return
	}
	for _, i := range d.machines {
		r.tasks.Go(func() {
			if !r.locks[i].TryLock() {
				return // it is down already
			}
			defer r.locks[i].Unlock()
			r.disturb(context.WithoutCancel(ctx), i, d)
		})
	}
}

// disturb sends a machine a signal and brings it back. A process that has not logged its start does not handle SIGTERM yet, and ends by it.
func (r *soakRun) disturb(ctx context.Context, machine int, d scheduledSignal) {
	m := r.machines[machine]
	r.checkProcess(m)
	r.noteProcess(machine, d.signal.String())
	if d.signal == syscall.SIGSTOP {
		m.process.Pause()
		wait(ctx, d.downtime)
		m.process.Resume()
		r.noteProcess(machine, "continues")
		return
	}
	if err := m.process.Signal(d.signal); err != nil {
		r.t.Error(err)
	}
	if err := m.process.Wait(); err != nil && d.signal == syscall.SIGTERM && m.process.Log.Has("router starts") {
		r.t.Errorf("%s ended by SIGTERM with %v", m.ip, err)
	}
	r.noteProcess(machine, "has ended")
	wait(ctx, d.downtime)
	if d.losesDisk {
		if err := os.RemoveAll(m.dataDir()); err != nil {
			r.t.Error(err)
		}
		r.noteProcess(machine, lostItsDisk)
	}
	m.restartAfterBootstrap()
	r.noteProcess(machine, "starts")
}

// checkProcess checks that a machine's process has not ended by itself, and that no goroutine of it has panicked or raced.
func (r *soakRun) checkProcess(m *machine) {
	if len(m.process.Ended) > 0 {
		r.t.Errorf("the process of %s has ended by itself", m.ip)
	}
	for _, sign := range []string{"DATA RACE", "panic", "fatal error"} {
		if m.process.Log.Has(sign) {
			r.t.Errorf("%q in the log of %s:\n%s", sign, m.ip, m.process.Log)
		}
	}
}

// noteProcess records a signal, an end or a start.
func (r *soakRun) noteProcess(machine int, kind string) {
	r.record.mutex.Lock()
	defer r.record.mutex.Unlock()
	r.record.processes = append(r.record.processes,
		processEvent{machine: r.machines[machine].ip, isCore: machine < r.schedule.coreMembers, kind: kind, at: time.Now()})
}
