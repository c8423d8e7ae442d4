package group

import (
	"time"
)

// trouble is the next fault: of a schedule, or drawn.
func (s *sim) trouble(schedule []int) {
	at := 0
	var next func()
	next = func() {
		s.after(s.between(100*time.Millisecond, 900*time.Millisecond), func() {
			n := s.rand.IntN(1 << 20)
			if schedule != nil {
				if at == len(schedule) {
					return
				}
				n = schedule[at]
				at++
			}
			s.fault(n)
			next()
		})
	}
	next()
}

// fault is one that a number names, with its end.
func (s *sim) fault(n int) {
	s.Faults++
	kind := n % 7
	n /= 7
	r := s.replicas[n%len(s.replicas)]
	for _, l := range s.replicas { // mostly the leader
		if n/5%3 > 0 && l.core != nil && l.core.IsLeader() {
			r = l
		}
	}
	n /= 15
	for_ := time.Duration(100+n%30*100) * time.Millisecond
	n /= 30
	cut := func(a, b int) {
		s.cut[[2]int{a, b}] = true
		s.after(for_, func() { delete(s.cut, [2]int{a, b}) })
	}
	everybody := len(s.replicas) + len(s.clients)
	switch kind {
	case 0: // one crashes
		if r.core != nil {
			r.crash()
			s.after(for_/2, func() {
				if r.core == nil {
					r.start()
				}
			})
		}
	case 1: // all crash at once
		for _, r := range s.replicas {
			if r.core != nil {
				r.crash()
			}
			s.after(for_/4, func() {
				if r.core == nil {
					r.start()
				}
			})
		}
	case 2: // one is stopped
		r.stopped = true
		life := r.life
		s.after(for_, func() {
			if r.life == life {
				r.stopped = false
				held := r.held
				r.held = nil
				for _, do := range held {
					do()
				}
			}
		})
	case 3: // cut off from the other replicas, not from clients
		for i := range s.replicas {
			cut(r.i, i)
			cut(i, r.i)
		}
	case 4: // in one direction only
		for i := range everybody {
			if n%2 == 0 {
				cut(r.i, i)
			} else {
				cut(i, r.i)
			}
		}
	case 5: // from clients, not from the other replicas
		for i := len(s.replicas); i < everybody; i++ {
			cut(r.i, i)
			cut(i, r.i)
		}
	case 6: // a client is stopped
		c := s.clients[n%len(s.clients)]
		c.stopped = true
		s.after(for_, func() { c.stopped = false })
	}
}
