// Package admit decides for the clients of a sidecar: which connection of a client has a place, and which one without a
// request makes room for one that comes when all places are taken. It is pure: events and times go in, decisions come
// out; it opens and closes nothing. What of the requests is served is no matter of its own: that is the decision module's.
//
// It goes by worth in time. A place is worth the chance that its connection asks soon, and that chance is learned from
// what connections of the same history did after the same silence: those that never asked, asked once, now and then, or
// often. What came of a guess is seen and the past fades, so clients that change their ways are met anew within seconds.
//
// Invariants: a connection is in one place of one list, from Come to Gone; no more than the given number hold a place; one
// with a request open is never given up; of two connections of one history the one that has been silent for longer goes
// first, since nothing says otherwise.
package admit
