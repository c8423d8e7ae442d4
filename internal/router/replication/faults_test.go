package replication

import (
	"slices"
	"time"
)

// faultTargets draws the machines of a fault: at least one, and at most as many as may be lost at once.
func (s *simulation) faultTargets() []*host {
	hosts := s.addresses()
	h := s.hosts[hosts[s.random.Intn(len(hosts))]]
	if p := s.primary(); p != nil && s.random.Intn(2) == 0 {
		h = p.host
	}
	list := []*host{h}
	for s.tolerance > len(list) && s.random.Intn(2) == 0 {
		other := s.hosts[hosts[s.random.Intn(len(hosts))]]
		if !slices.Contains(list, other) {
			list = append(list, other)
		}
	}
	return list
}

// faultKind is a kind of fault that injectFault draws.
type faultKind int

const (
	killOne faultKind = iota // a crash or a loss of power: the disk keeps what was synced
	killAll
	loseDisk
	freeze
	fillDisk
	isolate
	blockOneLink
	slowDisk
	suspend // like freeze, but messages that are sent to the machine meanwhile are lost
	loseMessages
	faultKindCount // number of the kinds above
)

// injectFault injects a random fault, and ends it later.
func (s *simulation) injectFault() {
	targets := s.faultTargets()
	recoverAfter := time.Duration(200+s.random.Intn(2500)) * time.Millisecond
	kind := faultKind(s.random.Intn(int(faultKindCount)))
	if kind == loseDisk && !s.mayWipe() {
		return
	}
	for _, h := range targets {
		s.applyFault(kind, h, recoverAfter)
	}
}

// applyFault injects a fault of a kind at a machine; killAll and loseMessages affect all machines.
func (s *simulation) applyFault(kind faultKind, h *host, recoverAfter time.Duration) {
	switch kind {
	case killOne:
		s.kill(h)
		s.after(recoverAfter, func() { s.boot(h) })
	case killAll:
		for _, target := range s.ordered() {
			s.kill(target)
			s.after(time.Duration(200+s.random.Intn(800))*time.Millisecond, func() { s.boot(target) })
		}
	case loseDisk:
		s.kill(h)
		s.wipe(h)
		s.after(recoverAfter, func() { s.boot(h) })
	case freeze:
		h.frozenUntil = s.now + recoverAfter
	case fillDisk:
		h.diskFullUntil = s.now + recoverAfter
	case isolate:
		for _, other := range s.ordered() {
			if other != h {
				s.blockLink(h, other, s.random.Intn(2) == 0)
			}
		}
		s.after(recoverAfter, s.heal)
	case blockOneLink:
		hosts := s.addresses()
		s.blockLink(h, s.hosts[hosts[s.random.Intn(len(hosts))]], true)
		s.after(recoverAfter, s.heal)
	case slowDisk:
		h.syncTime = 40 * time.Millisecond
		s.after(recoverAfter, func() { h.syncTime = 2 * time.Millisecond })
	case suspend:
		h.frozenUntil = s.now + recoverAfter
		h.inboundLostUntil = h.frozenUntil
	case loseMessages:
		s.lossProbability = 0.2
		s.after(recoverAfter, func() { s.lossProbability = 0 })
	}
}

// mayWipe reports whether a disk may be lost. At most FaultTolerance disks may be lost at one time, and each counts as lost
// until its machine is back in the in-sync set.
func (s *simulation) mayWipe() bool {
	p := s.primary()
	if p == nil || len(p.replica.View().InSync) < len(s.hosts) {
		return false
	}
	for _, h := range s.hosts {
		if h.disk != nil && (h.disk.Hard.Accepted.joint() || h.disk.Hard.Accepted.Epoch != p.replica.View().Epoch) {
			return false
		}
		if h.process == nil || h.disk == nil || s.now < h.diskFullUntil || !isMember(p.replica.View(), h.disk.ID) {
			return false
		}
	}
	return true
}
