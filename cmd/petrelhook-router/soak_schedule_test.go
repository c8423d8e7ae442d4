package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// The schedule of a run. All times count from the moment at which the fleet serves.
const (
	soakHeartbeatInterval = 1200 * time.Millisecond // HeartbeatMs of the operators' deployments
	requestInterval       = 50 * time.Millisecond   // of one client
	clientsPerMachine     = 2
	serverCallTimeout     = time.Second     // after which a server calls the next router
	firstDisturbance      = 2 * time.Second // the earliest end or signal
	lastDisturbance       = 9 * time.Second // the latest end, or signal at a time of its own
	longestDowntime       = 900 * time.Millisecond
	longestDelay          = 7 * time.Second         // of a heartbeat
	longestLead           = 500 * time.Millisecond  // of a successor's start before an end
	soonAfterEnd          = 400 * time.Millisecond  // the latest signal that comes soon after an end
	longestAfterEnd       = 1500 * time.Millisecond // the latest signal that follows an end
	runTime               = 22 * time.Second        // the last heartbeat has arrived, and all machines are in touch for seconds
)

// soakSchedule is what is done to a fleet in one run.
type soakSchedule struct {
	coreMembers, others int
	ends                []scheduledEnd
	signals             []scheduledSignal
}

// scheduledEnd is the end of one server.
type scheduledEnd struct {
	at      time.Duration
	call    string // deregister, or heartbeat with the state draining
	machine int    // that the server calls first
	delays  []time.Duration
	targets []int         // the machine that each delayed heartbeat reaches
	lead    time.Duration // how long before the end the server's successor starts; 0 if it has none
}

// scheduledSignal is a signal to one or more routers. A router that ends by it starts again after downtime; one that is stopped
// continues after it.
type scheduledSignal struct {
	signal   syscall.Signal // SIGKILL, SIGTERM or SIGSTOP
	afterEnd int            // the end after whose acknowledgement the time counts; -1 for the beginning of the run
	at       time.Duration  // from then on
	machines []int
	downtime time.Duration
	// losesDisk says that the machine starts again with an empty disk. One core member at most does so in a run, as
	// FaultTolerance permits.
	losesDisk bool
}

// scheduledCrash is the crash of one server, after which a server with another id takes its place.
type scheduledCrash struct {
	seed     uint64        // from which it draws its behaviour
	machine  int           // to which its heartbeats go
	at       time.Duration // after its start
	downtime time.Duration
}

const crashesInARow = 3

// drawCrashes draws the crashes of servers that take each other's place, for a fleet of so many machines.
func drawCrashes(seed uint64, machines int) (crashes [crashesInARow]scheduledCrash) {
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range crashes {
		crashes[i] = scheduledCrash{seed: seed, machine: random.IntN(machines), at: firstDisturbance + time.Duration(random.Int64N(int64(firstDisturbance))),
			downtime: time.Duration(random.Int64N(int64(longestDowntime)))}
	}
	return crashes
}

// drawSchedule draws the schedule of a seed.
func drawSchedule(seed uint64) soakSchedule {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	s := soakSchedule{coreMembers: 3 + 2*random.IntN(2), others: 1 + random.IntN(2)}
	if *soakOthers > 0 {
		s.others = *soakOthers
	}
	machines := s.coreMembers + s.others
	for range 3 + random.IntN(3) {
		end := scheduledEnd{at: between(firstDisturbance, lastDisturbance), call: "deregister", machine: random.IntN(machines)}
		if random.IntN(2) == 0 {
			end.call = "heartbeat"
		}
		for range 1 + random.IntN(2) {
			end.delays = append(end.delays, between(500*time.Millisecond, longestDelay))
			end.targets = append(end.targets, random.IntN(machines))
		}
		if random.IntN(3) > 0 {
			end.lead = between(time.Millisecond, longestLead)
		}
		s.ends = append(s.ends, end)
	}
	signals := []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}
	for range 1 + random.IntN(4) {
		d := scheduledSignal{signal: signals[random.IntN(len(signals))], afterEnd: -1, at: between(firstDisturbance, lastDisturbance),
			downtime: between(100*time.Millisecond, longestDowntime)}
		if random.IntN(3) > 0 { // soon after an acknowledgement
			d.afterEnd, d.at = random.IntN(len(s.ends)), between(0, longestAfterEnd)
			if random.IntN(3) > 0 {
				d.at = between(0, soonAfterEnd)
			}
		}
		d.machines = []int{random.IntN(machines)}
		if random.IntN(3) > 0 { // the whole core
			d.machines = d.machines[:0]
			for i := range s.coreMembers {
				d.machines = append(d.machines, i)
			}
		}
		s.signals = append(s.signals, d)
	}
	if random.IntN(3) == 0 {
		s.signals = append(s.signals, scheduledSignal{signal: syscall.SIGKILL, afterEnd: random.IntN(len(s.ends)), at: between(0, longestAfterEnd),
			machines: []int{random.IntN(s.coreMembers)}, downtime: between(100*time.Millisecond, longestDowntime), losesDisk: true})
	}
	return s
}
