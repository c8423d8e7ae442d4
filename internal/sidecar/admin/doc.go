// Package admin is the operators' endpoint: an HTTP listener of its own on which they ask whether this process can serve, have it
// evacuate its clients and accept them again, and read its counts. It reads and changes the lifecycle alone and waits for no other part
// of the sidecar, so it answers under any load. It knows neither requests nor servers.
//
//	GET /api/ready      200 where the process can serve, else 503
//	PUT /api/evacuate   200 once health checks fail and clients are being evacuated; 409 while the process stops
//	PUT /api/rejoin     200 once health checks succeed; 409 while the process stops, 503 where no server is known
//	GET /api/counts     200 with what the process has counted, as JSON on one line; 404 where it counts nothing
//
// Every other answer is one line of text: the state, or what is wrong. Another method gets 405 with Allow, another path 404, an invalid call 400, a body
// over 4 KiB 413, a head over 8 KiB 431. A connection carries one call and is closed after the answer.
//
// Invariants: no more than MaxCalls connections are open at the same time; an incomplete call changes nothing; 200 is answered only
// once what it says is true; callers that send nothing do not delay others, because the oldest one is closed for a new one.
package admin
