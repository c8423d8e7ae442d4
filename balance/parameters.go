package balance

// The numbers that the decisions rest on; what a deployment says is in Config.
const (
	halfLife     = 5000 // ms; errors lose half their weight in this time: troubles last seconds, not minutes
	slope        = 0.2  // m lost for each consecutive error
	trusted      = 0.9  // what must not run twice goes to no server of lower m while there are others
	floorM       = 0.25 // m never falls below this, so that a recovered server is found again
	lateDevs     = 4    // mean deviations above the mean of its class at which an attempt is overdue
	strikes      = 3    // consecutive errors before a server is rested
	learnRate    = 0.01 // step of a server's size for each answer; its kind and zone move with half of it
	maxSize      = 2.5  // bound of each learned logarithm of size
	headroom     = 0.7  // a server above this multiple of its share of the requests in flight is passed over
	maxRepeats   = 1    // cost of a request's lost attempts: more of them multiply a load that is too high
	repeatShare  = 0.2  // repeats a request may add to the budget: a slow fleet is not made slower by them
	repeatBurst  = 10   // ... and the most that is saved up
	spareAim     = 0.25 // part of the aim beyond the quickest answers that queues may take: else load is shed
	startAim     = 0.33 // held to be the quickest until answers tell
	recent       = 50   // answers or reports over which a mean is taken
	pressureSpan = 10   // ... and the few that tell whether the load is felt at all
	shedNow      = 4    // part of the load to shed at once, per aim that answers take too long
	shedRate     = 0.04 // ... and lastingly, more for each request
	fewInAim     = 5    // requests in an aim under which each counts for more: they follow the load slowly
	maxShed      = 0.95 // never all: answers are needed to see that the load is gone
	paceAims     = 8    // span of the rates of answers and requests, in longest aims
	fewAnswers   = 2    // assumed beside the recent answers of a sidecar that has hardly any
	trustLoad    = 0.85 // part of the requests in flight that is held against the rate of answers
	congested    = 4    // the favour for the own zone ends where answers are slower by 1/4 of the aim
	fairBound    = 2    // a tenant counts as at most this far under its share
	alike        = 1.25 // values within this factor are shed alike, so that no tenant pays for a tiny excess
	perServer    = 16   // connections a server is to hold when each sidecar uses only its least subset
	leastWidth   = 3    // servers in a subset: enough to re-route when some of them fail together
	spread       = 0.5  // ... and for each request within the longest aim: busy sidecars spread their load
	rounds       = 8    // orders of the servers, so that neighbours in one have different ones in the others
	probeSpend   = 0.03 // part of the result that probes for each request may cost
	probeAims    = 0.05 // part of the aim that a first send waits for probes, and that reports are believed
	allBusy      = 0.01 // chance that all probed servers are busy, at which no more are probed
	zoneFavour   = 400  // weight added to a server of the own zone, times the price of crossing zones
	keyFavour    = 3    // rotations that a key may go ahead of its home's turn, times a variate around 1
	keyDebt      = 6    // ... and the most that a server owes for it
	keyRoom      = 1    // requests a key's home may hold beyond its share
	eager        = 8    // times faster that sizes are learned at first: restarted sidecars know none
	leastHold    = 0.05 // part of the aim for which a refused client is to hold off at least
	mostHold     = 0.25 // ... and at most: else its later try is too late
	askPause     = 500  // ms before a failed list call is made again; doubles each time
	mostPause    = 1500 // ... up to this
	agentPause   = 50   // ... where lists are pushed, or a tenth of the grace for drains
)
