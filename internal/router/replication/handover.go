package replication

import "time"

// Leave announces that this process is about to end. If this replica is the primary, it resigns. The primary replaces
// this replica among the members as soon as another replica of the same zone has caught up.
func (r *Replica) Leave(now time.Duration) {
	r.leaving = true
	r.Resign(now)
}

// Resign steps down as primary, and asks the replica that successor returns, if any, to campaign. It does nothing if this
// replica is not the primary.
func (r *Replica) Resign(now time.Duration) {
	r.now = now
	if r.role != primary {
		return
	}
	successor, epoch := r.successor(), r.leadership.view.Epoch
	r.stepDown()
	if successor != "" {
		r.send(successor, TransferLeadership{Epoch: epoch})
	}
}

// successor returns the address of the other in-sync replica with the most recent contact. It ignores replicas that are
// leaving or whose disk fails, and returns "" if no replica is left.
func (r *Replica) successor() string {
	l := &r.leadership
	address, latest := "", time.Duration(-1)
	for _, id := range l.view.InSync {
		status, ok := l.statuses[id]
		if ok && id != r.Self.ID && !status.diskFails && !status.leaving && status.lastContact > latest {
			address, latest = l.view.Member(id).Address, status.lastContact
		}
	}
	return address
}

// handleTransferLeadership campaigns at once, if this replica is in sync and still follows the epoch of the primary that
// sent the request.
func (r *Replica) handleTransferLeadership(m TransferLeadership) {
	if r.role == follower && r.hard.Promised == m.Epoch && r.hard.Accepted.inSync(r.Self.ID) {
		r.campaign(true)
	}
}
