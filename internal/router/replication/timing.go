package replication

import "time"

// HeartbeatInterval is how often a primary sends heartbeats.
const HeartbeatInterval = 100 * time.Millisecond

// Contact between replicas.
const (
	// electionTimeout is for how long a follower goes without contact with a primary before it suspects it, and a primary
	// without answers of a majority before it steps down.
	electionTimeout = 600 * time.Millisecond
	// electionStagger is by how much the members of the in-sync set wait one after the other, so that one becomes
	// candidate first.
	electionStagger = 50 * time.Millisecond
	// contactAgeAtStart is how long ago a process that starts assumes its last contact with a primary to be: so long that
	// it asks the others at once whether they have one.
	contactAgeAtStart = electionTimeout
	// leaderStickiness is for how long after a heartbeat a witness promises nothing to a candidate that has no reason to
	// force it.
	leaderStickiness = 400 * time.Millisecond
	// reachableWindow is for how long after its last heartbeat ack a replica counts as reachable.
	reachableWindow = 500 * time.Millisecond
)

// Candidacies.
const (
	// maxPhaseWait is the longest wait for answers beyond those that a phase needs.
	maxPhaseWait = 200 * time.Millisecond
	// promiseWaitMargin is the wait for promises beyond a majority, on top of twice the time that the others took.
	promiseWaitMargin = 40 * time.Millisecond
	// candidacyTimeout ends a candidacy that has not succeeded.
	candidacyTimeout = 1200 * time.Millisecond
	// resendInterval is how often a phase's request is sent again to those that have not answered.
	resendInterval = 100 * time.Millisecond
)

// A primary's work.
const (
	// entryTimeout, and entryTimeoutPerByte for each byte of the entry, is the time after which the primary proposes a
	// view without the in-sync members that have not acknowledged an entry.
	entryTimeout        = 350 * time.Millisecond
	entryTimeoutPerByte = 500 * time.Nanosecond
	// viewReviewInterval is the time between two changes of a view that nobody waits for.
	viewReviewInterval = 400 * time.Millisecond
	// maxViewReviewBackoff bounds the backoff for a change that was proposed and brought nothing.
	maxViewReviewBackoff = 4 * time.Second
	// maxProposals bounds the proposals that wait for the staged one.
	maxProposals = 64
	// maxPublishedEntries is how many entries are published with a state.
	maxPublishedEntries = 32
)

// The first view.
const (
	// bootstrapQuietTime is how long after the last newcomer of the first start the first view is proposed.
	bootstrapQuietTime = 700 * time.Millisecond
	// bootstrapStagger is by how much the replicas of the first start wait one after the other, in the order of their
	// addresses.
	bootstrapStagger = 500 * time.Millisecond
)

// Disks.
const (
	// diskStallTimeout is the age of a pending save at which the disk counts as failing.
	diskStallTimeout = 500 * time.Millisecond
	// diskRetryInterval is how often a save is tried on a disk that failed.
	diskRetryInterval = 300 * time.Millisecond
	// entriesPerSnapshot is how many entries are saved between two snapshots.
	entriesPerSnapshot = 32
)
