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

// fault injects the fault that a number names, and schedules its end.
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
	duration := time.Duration(100+n%30*100) * time.Millisecond
	n /= 30
	switch kind {
	case 0:
		if r.core != nil {
			s.crash(r, duration/2)
		}
	case 1:
		for _, one := range s.replicas {
			s.crash(one, duration/4)
		}
	case 2:
		s.stop(r, duration)
	case 3: // partitioned from the other replicas, not from clients
		for i := range s.replicas {
			s.partition(r.i, i, duration)
			s.partition(i, r.i, duration)
		}
	case 4: // partitioned from everybody in one direction only
		for i := range len(s.replicas) + len(s.clients) {
			if n%2 == 0 {
				s.partition(r.i, i, duration)
			} else {
				s.partition(i, r.i, duration)
			}
		}
	case 5: // partitioned from clients, not from the other replicas
		for i := len(s.replicas); i < len(s.replicas)+len(s.clients); i++ {
			s.partition(r.i, i, duration)
			s.partition(i, r.i, duration)
		}
	case 6: // a client is stopped
		c := s.clients[n%len(s.clients)]
		c.stopped = true
		s.after(duration, func() { c.stopped = false })
	}
}

// partition drops what one node sends another, for a time.
func (s *sim) partition(from, to int, duration time.Duration) {
	s.cut[[2]int{from, to}] = true
	s.after(duration, func() { delete(s.cut, [2]int{from, to}) })
}

// crash ends a replica's process, and starts it again after a time.
func (s *sim) crash(r *simReplica, duration time.Duration) {
	if r.core != nil {
		r.crash()
	}
	s.after(duration, func() {
		if r.core == nil {
			r.start()
		}
	})
}

// stop stops a replica's process, as SIGSTOP does, and has it go on after a time.
func (s *sim) stop(r *simReplica, duration time.Duration) {
	r.stopped = true
	life := r.life
	s.after(duration, func() {
		if r.life == life {
			r.stopped = false
			held := r.held
			r.held = nil
			for _, do := range held {
				do()
			}
		}
	})
}
