// Package agent is the processes of one sidecar on one machine: how it is started, changed by a hand-over, put on trial and taken
// back. Sidecar is that as a pure machine: orders and what is seen go in, what to do comes out. It starts no process and reads no clock.
//
//	Idle      one process serves, or none: then one is started, after a pause that doubles with each crash
//	Starting  the next one is started beside it, and has to say yes in time
//	Trial     both live; the next one has to live through its trial
//	Ending    the one before is told to end, and killed if it does not
//
// A release is confirmed by the fleet when a change is over. Until then it is on trial with the fleet: a machine that is cut off for
// longer than it may be goes back to what was confirmed.
//
// A version of the service's configuration goes in where no change goes on: the release's program is asked whether it
// takes the version; then the process that serves reads it, or a process is started with it as by a change. What is in
// force is what every other start begins with. A rollout's order comes first. See Configured.
//
// Invariants: never more than two processes, and one of a hand-over is ended only after the other has said yes and lived through its
// trial; a change that fails leaves the one that served as it was; what was asked for once is done once, also by an agent that is killed
// at any moment and begins again with what it kept and what it finds alive; what is in force never goes back to an
// older version, and one that was refused is not tried again.
package agent
