package balance

// The constants of the decisions; the settings of a deployment are in Config. Times are in milliseconds.
// Tests of other packages read some constants from this file by name.
const (
	errorHalfLife       = 5000 // errors lose half their weight in this time: faults last seconds, not minutes
	errorPenalty        = 0.2  // subtracted from m for each consecutive error
	minUnsafeHealth     = 0.9  // m below which a server gets no unsafe request while there are others
	minHealth           = 0.25 // m is never below this, so that a server that has recovered is found again
	overdueDeviations   = 4    // mean deviations above its class's mean at which an attempt is overdue
	cooldownErrors      = 3    // consecutive errors before a cooldown
	capacityLearnRate   = 0.01 // step of a server's capacity per answer; half of it for kind and zone
	initialLearnBoost   = 8    // learning is 1 + this times as fast at first: restarted sidecars know nothing
	maxCapacityLog      = 2.5  // bound of each learned logarithm of capacity
	loadHeadroom        = 0.7  // multiple of its share of requests in flight beyond which a server is full
	maxRetryCost        = 1    // cost of a request's failed attempts: more would multiply an overload
	retryRatio          = 0.2  // retries added to the budget per request: a slow fleet must not become slower
	retryBurst          = 10   // ... and the largest budget
	queueAllowance      = 0.25 // queueing allowed without shedding, as a fraction of (target - least latency)
	initialMinLatency   = 0.33 // least latency assumed until there are answers
	meanSpan            = 50   // answers or reports over which a mean is taken
	shortMeanSpan       = 10   // answers of the short mean, which shows whether there is a load at all
	shedGain            = 4    // proportional gain: shed fraction per latency target of excess latency
	shedIntegralGain    = 0.04 // integral gain: the same, added with each request
	fewRequests         = 5    // requests in a latency target; with fewer, each moves the integral further
	maxShedFraction     = 0.95 // below 1, as answers are needed to see that the load has gone
	rateSpan            = 8    // longest latency targets over which rates are taken
	assumedAnswers      = 2    // added to the recent answers, for a sidecar that has hardly any
	inFlightWeight      = 0.85 // fraction of the requests in flight that is compared with the answer rate
	zonePreferenceDecay = 4    // no preference for the own zone if answers slow by 1/4 of the target
	maxShareFactor      = 2    // a tenant counts as at most this many times below its share
	similarValue        = 1.25 // values within this factor are shed alike: no tenant pays for a tiny excess

	connectionsPerServer = 16  // at a server, if each sidecar uses only its smallest subset
	minSubset            = 3   // servers in a subset: enough for retries when some of them fail together
	subsetPerRequest     = 0.5 // ... and per request in the longest target: busy sidecars spread their load
	ringCount            = 8   // orders of the servers: neighbours in one have other neighbours in the others

	maxProbeCost       = 0.03 // fraction of the result that the probes for each request may cost
	probeWait          = 0.05 // of the target: wait of a first send for probes, and validity of reports
	allBusyProbability = 0.01 // probability that all probed servers are busy, low enough to probe no more
	zonePreference     = 400  // relative weight added in the own zone, per unit of cross-zone penalty
	affinityStrength   = 3    // rotations that a key may go ahead of its turn, times a variate around 1
	maxAffinityDebt    = 6    // ... and the most rotations that a server can be ahead
	affinityHeadroom   = 1    // requests of a key's preferred server beyond its share, which may be below 1
	minRetryAfter      = 0.05 // of the latency target: the earliest retry of a rejected client
	maxRetryAfter      = 0.25 // ... and the latest, as a later one would come too late

	pollBackoff       = 500  // before a failed list call is repeated; doubles each time
	maxPollBackoff    = 1500 // ... up to this
	pushedPollBackoff = 50   // minimum where lists are pushed; the backoff there is 1/10 of the drain grace
)
