package balance

// The constants of the decisions; what a deployment sets is in Config. Times are milliseconds. Tests of other
// packages read some of them here by name.
const (
	errorHalfLife       = 5000 // errors lose half their weight in this time: faults last seconds, not minutes
	errorPenalty        = 0.2  // m lost for each consecutive error
	minUnsafeHealth     = 0.9  // m below which a server gets no unsafe request while there are others
	minHealth           = 0.25 // m is never below this, so that a server that has recovered is found again
	overdueDeviations   = 4    // mean deviations above its class's mean at which an attempt is overdue
	cooldownErrors      = 3    // consecutive errors before a cooldown
	capacityLearnRate   = 0.01 // step of a server's capacity for an answer; half of it for kind and zone
	initialLearnBoost   = 8    // times faster at first: restarted sidecars know no capacities
	maxCapacityLog      = 2.5  // bound of each learned logarithm of capacity
	loadHeadroom        = 0.7  // multiple of its share of requests in flight beyond which a server is full
	maxRetryCost        = 1    // cost of a request's lost attempts: more of them multiply a load too high
	retryRatio          = 0.2  // retries that a request adds to the budget: a slow fleet is not made slower
	retryBurst          = 10   // ... and the most that is saved up
	queueAllowance      = 0.25 // of the latency target beyond the least latency that queues may take unshed
	initialMinLatency   = 0.33 // assumed to be the least until there are answers
	meanSpan            = 50   // answers or reports over which a mean is taken
	shortMeanSpan       = 10   // ... and the few that show whether there is a load at all
	shedImmediate       = 4    // fraction of the load to shed at once, per latency target that answers exceed
	shedStep            = 0.04 // ... and lastingly, more for each request
	fewRequests         = 5    // in a latency target, below which each moves the lasting fraction further
	maxShedFraction     = 0.95 // never all: answers are needed to see that the load has gone
	rateSpan            = 8    // longest latency targets over which rates are taken
	assumedAnswers      = 2    // beside the recent answers of a sidecar that has hardly any
	loadTrust           = 0.85 // fraction of the requests in flight that is compared with the answer rate
	zonePreferenceDecay = 4    // own zone's preference ends where answers are slower by 1/4 of the target
	maxShareFactor      = 2    // a tenant counts as at most this far under its share
	similarValue        = 1.25 // values within this factor are shed alike: no tenant pays for a tiny excess

	connectionsPerServer = 16  // at a server, if each sidecar uses only its smallest subset
	minSubset            = 3   // servers in a subset: enough for retries when some of them fail together
	subsetPerRequest     = 0.5 // ... and for each request in the longest target: busy sidecars spread load
	ringCount            = 8   // orders of the servers: neighbours in one have different ones in the others

	maxProbeCost     = 0.03 // fraction of the result that probes for each request may cost
	probeWait        = 0.05 // of the target: a first send's wait for probes, and how long reports are valid
	allBusyChance    = 0.01 // of all probed servers being busy, at which no more are probed
	zonePreference   = 400  // weight added to a server of the own zone, times the cross-zone penalty
	affinityStrength = 3    // rotations that a key may go ahead of its turn, times a variate around 1
	maxAffinityDebt  = 6    // ... and the most that a server owes for it
	affinityRoom     = 1    // requests of a key's preferred server beyond its share, which may be below 1
	minRetryAfter    = 0.05 // of the latency target: the earliest retry of a rejected client
	maxRetryAfter    = 0.25 // ... and the latest, else the retry is too late

	pollBackoff       = 500  // before a failed list call is made again; doubles each time
	maxPollBackoff    = 1500 // ... up to this
	pushedPollBackoff = 50   // ... where lists are pushed, or a tenth of the grace for drains
)
