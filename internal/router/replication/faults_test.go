package replication

import (
	"slices"
	"time"
)

// faultTargets draws the machines of a fault: one, or up to as many as may be lost at once.
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
	killOne faultKind = iota // or a loss of power: the disk holds what was synced
	killAll
	loseDisk
	freeze
	fillDisk
	isolate
	blockOneLink
	slowDisk
	suspend // freeze, and what is sent to it meanwhile is lost
	loseMessages
	faultKinds // their number
)

// injectFault injects a random fault, and ends it later.
func (s *simulation) injectFault() {
	targets := s.faultTargets()
	back := time.Duration(200+s.random.Intn(2500)) * time.Millisecond
	kind := faultKind(s.random.Intn(int(faultKinds)))
	if kind == loseDisk && !s.mayWipe() {
		return
	}
	for _, h := range targets {
		s.applyFault(kind, h, back)
	}
}

// applyFault injects a fault of a kind at a machine, or, where it is about links or all machines, at all.
func (s *simulation) applyFault(kind faultKind, h *host, back time.Duration) {
	switch kind {
	case killOne:
		s.kill(h)
		s.after(back, func() { s.boot(h) })
	case killAll:
		for _, target := range s.ordered() {
			s.kill(target)
			s.after(time.Duration(200+s.random.Intn(800))*time.Millisecond, func() { s.boot(target) })
		}
	case loseDisk:
		s.kill(h)
		s.wipe(h)
		s.after(back, func() { s.boot(h) })
	case freeze:
		h.frozenUntil = s.now + back
	case fillDisk:
		h.diskFullUntil = s.now + back
	case isolate:
		for _, other := range s.ordered() {
			if other != h {
				s.blockLink(h, other, s.random.Intn(2) == 0)
			}
		}
		s.after(back, s.heal)
	case blockOneLink:
		hosts := s.addresses()
		s.blockLink(h, s.hosts[hosts[s.random.Intn(len(hosts))]], true)
		s.after(back, s.heal)
	case slowDisk:
		h.syncTime = 40 * time.Millisecond
		s.after(back, func() { h.syncTime = 2 * time.Millisecond })
	case suspend:
		h.frozenUntil = s.now + back
		h.inboundLostUntil = h.frozenUntil
	case loseMessages:
		s.loss = 0.2
		s.after(back, func() { s.loss = 0 })
	}
}

// mayWipe reports whether a disk may be lost: as many may be lost at one time as FaultTolerance says, and each counts
// as lost until its machine is back in the in-sync set.
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
