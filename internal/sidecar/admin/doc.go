// Package admin implements the admin endpoint: a separate HTTP listener on which operators ask whether this
// process can serve, make it evacuate its clients and accept them again, and read its counts. Apart from the
// counts, it reads and changes only the lifecycle. It waits for no other part of the sidecar, so it answers
// under any load. It has no access to requests or servers.
//
//	GET /api/ready      200 where the process can serve, else 503
//	PUT /api/evacuate   200 once health checks fail and clients are being evacuated; 409 while the process stops
//	PUT /api/rejoin     200 once health checks succeed; 409 while the process stops, 503 where no server is known
//	GET /api/counts     200 with what the process has counted, as JSON on one line; 404 where it counts nothing
//
// Every other answer is one line of text: the state or an error. Another method gets 405 with Allow, another path 404, an invalid
// call 400, a body over 4 KiB 413, a head over 8 KiB 431. A connection carries one call and is closed after the answer.
//
// Invariants: no more than MaxCalls connections are open at the same time; an incomplete call changes
// nothing; 200 is sent only once the statement in the table above is true; callers that send nothing delay
// others for a short time only, because at MaxCalls a new connection replaces an answered one or the oldest.
package admin
