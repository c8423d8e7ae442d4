package group

import "time"

// scheduleFaults injects faults at random times: those of the schedule in its order, or drawn ones where it is nil.
func (s *sim) scheduleFaults(schedule []int) {
	position := 0
	var next func()
	next = func() {
		s.after(s.uniform(100*time.Millisecond, 900*time.Millisecond), func() {
			number := s.rand.IntN(1 << 20)
			if schedule != nil {
				if position == len(schedule) {
					return
				}
				number = schedule[position]
				position++
			}
			s.inject(number)
			next()
		})
	}
	next()
}

// inject injects the fault that a number encodes (its kind, target and duration), and schedules its end.
func (s *sim) inject(number int) {
	s.Faults++
	kind := number % 7
	number /= 7
	target := s.replicas[number%len(s.replicas)]
	for _, l := range s.replicas { // in two of three cases the leader
		if number/5%3 > 0 && l.core != nil && l.core.IsLeader() {
			target = l
		}
	}
	number /= 15
	duration := time.Duration(100+number%30*100) * time.Millisecond
	number /= 30
	switch kind {
	case 0:
		if target.core != nil {
			s.crash(target, duration/2)
		}
	case 1:
		for _, one := range s.replicas {
			s.crash(one, duration/4)
		}
	case 2:
		s.pause(target, duration)
	case 3: // partitioned from the other replicas, not from clients
		for i := range s.replicas {
			s.partition(target.index, i, duration)
			s.partition(i, target.index, duration)
		}
	case 4: // partitioned from replicas and clients, in one direction only
		for i := range len(s.replicas) + len(s.clients) {
			if number%2 == 0 {
				s.partition(target.index, i, duration)
			} else {
				s.partition(i, target.index, duration)
			}
		}
	case 5: // partitioned from clients, not from the other replicas
		for i := len(s.replicas); i < len(s.replicas)+len(s.clients); i++ {
			s.partition(target.index, i, duration)
			s.partition(i, target.index, duration)
		}
	case 6: // a client is paused
		c := s.clients[number%len(s.clients)]
		c.paused = true
		s.after(duration, func() { c.paused = false })
	}
}

// partition drops the messages from one node to another for a duration. Clients are numbered after the replicas.
func (s *sim) partition(from, to int, duration time.Duration) {
	s.partitioned[[2]int{from, to}] = true
	s.after(duration, func() { delete(s.partitioned, [2]int{from, to}) })
}

// crash ends a replica's process, and starts it again after a duration.
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

// pause stops a replica's process, as SIGSTOP does, and resumes it after a duration; what arrived meanwhile is then run.
func (s *sim) pause(r *simReplica, duration time.Duration) {
	r.paused = true
	incarnation := r.incarnation
	s.after(duration, func() {
		if r.incarnation == incarnation {
			r.paused = false
			pending := r.pending
			r.pending = nil
			for _, do := range pending {
				do()
			}
		}
	})
}
