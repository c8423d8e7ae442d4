// Package replica is one of 1, 3 or 5 replicas that keep the commands of package lease in one order. Core is the replica as a
// pure machine: ticks, messages and questions go in; what to write, what to send and the answers come out. It has no goroutine, no
// clock, no socket and no disk, so that whole groups run in virtual time from one seed. Disk keeps what Core asks to have kept.
//
// The log is go.etcd.io/raft/v3. What is ours about it: when a silent replica stands for election is drawn from a source that is
// handed in, for raft's own is random; a leader answers whether a session lives only after a majority has confirmed, after the
// question, that it leads; its Clock begins once it has applied an entry of its own term.
//
// Invariants: what Work has to be kept is durable before its messages are sent and before anything of it is answered; an answer
// that says yes is given by a leader, from a state that holds everything that was committed when the question came; who loses the lead
// answers nothing of what was asked of it but ErrMoved, which says that it may have been done.
package replica

import "errors"

// What may come of a question beside an answer.
var (
	ErrNotLeader               = errors.New("another replica leads")                        // nothing was done
	ErrNoLeader                = errors.New("no replica leads: a majority is out of reach") // nothing was done
	ErrLeaderChanged           = errors.New("the lead has changed: it may have been done")
	ErrBusy                    = errors.New("too much waits")                         // nothing was done
	ErrMembershipChangePending = errors.New("a change of the replicas is on its way") // nothing was done
)
