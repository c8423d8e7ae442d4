// Package admin is the operators' endpoint: a listener of its own on which staff ask whether this process can serve, and have
// it send its clients away and take them again. It answers from the lifecycle alone and waits for nothing else of the
// sidecar, so it answers under any load. It knows neither requests nor servers.
//
//	GET /api/ready      200 where the process can serve, else 503
//	PUT /api/evacuate   200 once health checks are answered no and clients are sent away; 409 while the process ends
//	PUT /api/rejoin     200 once health checks are answered yes; 409 while the process ends, 503 where no server is known
//
// Every answer is one line of text that says what holds. Another method gets 405 with Allow, another path 404, what can't
// be read 400, a body over 4 KiB 413, a head over 8 KiB 431. There is one call to a connection, and the answer ends it.
//
// Invariants: no more than MaxCalls connections are open at once; a call that is not whole changes nothing; a yes is said
// only once it is true; who says nothing never keeps others from being heard, for the longest silent makes room.
package admin
