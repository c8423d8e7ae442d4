package replication

import "time"

// HeartbeatInterval is how often a primary sends heartbeats.
const HeartbeatInterval = 100 * time.Millisecond

// Contact between replicas.
const (
	// electionTimeout is the time without contact after which a follower suspects the primary to have failed, and the time
	// without answers of a majority after which a primary steps down.
	electionTimeout = 600 * time.Millisecond
	// electionStagger is the difference between the election delays of two successive members of the in-sync set, so that
	// one becomes candidate first.
	electionStagger = 50 * time.Millisecond
	// contactAgeAtStart is the assumed age of the last contact with a primary when a process starts: old enough for pre-votes
	// to be requested at once, which tell whether others have contact with a primary.
	contactAgeAtStart = electionTimeout
	// leaderStickiness is the time after a heartbeat during which a witness promises nothing to a candidate that does not
	// force it.
	leaderStickiness = 400 * time.Millisecond
	// reachableWindow is the time after its last heartbeat ack during which a replica counts as reachable.
	reachableWindow = 500 * time.Millisecond
)

// Candidacies.
const (
	// maxPhaseWait is the longest wait for answers beyond those that a phase needs.
	maxPhaseWait = 200 * time.Millisecond
	// promiseWaitMargin is added to twice the time of the slowest promise so far: the wait for promises beyond a majority.
	promiseWaitMargin = 40 * time.Millisecond
	// candidacyTimeout is the time after which a candidacy that has not succeeded ends.
	candidacyTimeout = 1200 * time.Millisecond
	// resendInterval is how often a phase's request is resent to the replicas that have not answered.
	resendInterval = 100 * time.Millisecond
)

// A primary's work.
const (
	// entryTimeout, plus entryTimeoutPerByte for each byte of the entry, is the time after which the primary proposes a
	// view without the in-sync members that have not acknowledged the entry.
	entryTimeout        = 350 * time.Millisecond
	entryTimeoutPerByte = 500 * time.Nanosecond
	// viewReviewInterval is the least time between two changes of the view that no entry depends on.
	viewReviewInterval = 400 * time.Millisecond
	// maxViewReviewBackoff bounds the backoff after a proposed change that left the view the same.
	maxViewReviewBackoff = 4 * time.Second
	// maxProposals bounds the queue of proposals behind the staged one.
	maxProposals = 64
	// maxPublishedEntries bounds the entries that are published with a state.
	maxPublishedEntries = 32
)

// The first view.
const (
	// bootstrapQuietTime is the time without a newly discovered replica after which the first view is proposed.
	bootstrapQuietTime = 700 * time.Millisecond
	// bootstrapStagger is the difference between the delays of two successive replicas of the first start, in the order of
	// their addresses.
	bootstrapStagger = 500 * time.Millisecond
)

// Disks.
const (
	// diskStallTimeout is the age of a pending save at which the disk counts as failing.
	diskStallTimeout = 500 * time.Millisecond
	// diskRetryInterval is how often a save is retried on a disk that failed.
	diskRetryInterval = 300 * time.Millisecond
	// entriesPerSnapshot and bytesPerSnapshot bound the entries that are saved between two snapshots.
	entriesPerSnapshot = 32
	bytesPerSnapshot   = 1 << 20
)
