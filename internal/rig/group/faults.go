package group

import "time"

// faultKind is the kind of a fault. The numbers of faults encode it: its values and their order are part of recorded schedules.
type faultKind int

const (
	crashOne            faultKind = iota // a replica's process
	crashAll                             // the processes of all replicas
	pauseReplica                         // a replica's process
	isolateFromReplicas                  // a replica from the other replicas, not from clients
	isolateOneDirection                  // a replica from replicas and clients, in one direction only
	isolateFromClients                   // a replica from clients, not from the other replicas
	pauseClient                          // a client
	faultKinds                           // how many there are
)

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

// inject injects the fault that a number encodes (its kind, target, duration and, for some kinds, direction or client), and schedules its
// end.
func (s *sim) inject(number int) {
	s.Faults++
	kind := faultKind(number) % faultKinds
	number /= int(faultKinds)
	target := s.replicas[number%len(s.replicas)]
	for _, r := range s.replicas { // in two of three cases the leader
		if number/5%3 > 0 && r.core != nil && r.core.IsLeader() {
			target = r
		}
	}
	number /= 15
	duration := time.Duration(100+number%30*100) * time.Millisecond
	number /= 30
	switch kind {
	case crashOne:
		if target.core != nil {
			s.crash(target, duration/2)
		}
	case crashAll:
		for _, r := range s.replicas {
			s.crash(r, duration/4)
		}
	case pauseReplica:
		s.pause(target, duration)
	case isolateFromReplicas:
		for i := range s.replicas {
			s.partition(target.index, i, duration)
			s.partition(i, target.index, duration)
		}
	case isolateOneDirection:
		for i := range len(s.replicas) + len(s.clients) {
			if number%2 == 0 {
				s.partition(target.index, i, duration)
			} else {
				s.partition(i, target.index, duration)
			}
		}
	case isolateFromClients:
		for i := len(s.replicas); i < len(s.replicas)+len(s.clients); i++ {
			s.partition(target.index, i, duration)
			s.partition(i, target.index, duration)
		}
	case pauseClient:
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
		if r.incarnation != incarnation {
			return
		}
		r.paused = false
		pending := r.pending
		r.pending = nil
		for _, do := range pending {
			do()
		}
	})
}
