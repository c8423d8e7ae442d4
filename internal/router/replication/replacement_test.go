package replication

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	successorLead = time.Second     // from a successor's start to the end of the machine that it replaces
	catchUpTime   = 4 * time.Second // the time after its start during which a successor counts as lost (CatchUpS)
)

// replace starts a successor in a machine's zone, and ends that machine: with a notice if planned, otherwise by a kill.
func (s *simulation) replace(old *host, address string, planned bool) {
	next := &host{address: address, zone: old.zone, syncTime: 2 * time.Millisecond}
	s.hosts[address] = next
	s.boot(next)
	s.run(s.now + successorLead)
	if planned {
		s.terminate(old)
	} else {
		s.kill(old)
	}
	s.after(300*time.Millisecond, func() { delete(s.hosts, old.address) })
}

// A member is replaced, and another one loses its disk once its successor no longer counts as lost. No acknowledged
// entry is lost, and all machines are in sync again.
func TestALostDiskAfterAReplacement(t *testing.T) {
	for seed := range int64(10) {
		for _, planned := range []bool{true, false} {
			for machines := 3; machines <= 4; machines++ {
				for _, after := range []time.Duration{catchUpTime - successorLead, catchUpTime - successorLead + 500*time.Millisecond, 8 * time.Second} {
					t.Run(fmt.Sprintf("seed %d, planned %t, %d machines, %v", seed, planned, machines, after), func(t *testing.T) {
						loseADiskAfterAReplacement(t, seed, planned, machines, after)
					})
				}
			}
		}
	}
}

func loseADiskAfterAReplacement(t *testing.T, seed int64, planned bool, machines int, after time.Duration) {
	t.Helper()
	s := newSimulation(t, seed, machines, 1)
	s.run(4 * time.Second)
	require.Equal(t, http.StatusOK, writeNow(s, "a").status)
	hosts := s.ordered()
	s.replace(hosts[seed%int64(machines)], "10.9.0.1:7000", planned)
	s.run(s.now + after)
	lost := hosts[(seed+1)%int64(machines)]
	s.kill(lost)
	s.wipe(lost)
	s.run(s.now + time.Second)
	s.boot(lost)
	s.run(s.now + 6*time.Second)
	p := s.primary()
	require.NotNil(t, p, "no primary after the loss of a disk")
	require.Equal(t, "a", p.machine.Value)
	require.Len(t, p.replica.View().Members, machines)
	require.Len(t, p.replica.View().InSync, machines)
	require.Equal(t, http.StatusOK, writeNow(s, "b").status)
}

// terminate simulates SIGTERM: a process announces its end, and ends a little later.
func (s *simulation) terminate(h *host) {
	p := h.process
	s.runIn(p, func() { p.replica.Leave(s.clock(p.host)) })
	s.after(200*time.Millisecond, func() { s.kill(h) })
}
