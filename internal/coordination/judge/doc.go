// Package judge says whether a new release is worse than the old one, from counts that come in windows, however often one looks. It
// is pure: no clock, no I/O. It knows nothing of stages or sidecars; it does not stop anything.
//
// A cell is one metric of one class in one zone: how many of the requests were refused, failed, late. New and control are counted at
// the same time, so that what befalls both (a slow cell of servers, twice the load) is no evidence.
//
// Worse is judged by an e-process for two proportions (Turner, Ly, Grünwald: Generic E-variables for exact sequential k-sample tests that
// allow for optional stopping, 2021): for each window the likelihood of the counts under what the windows before suggest, over that
// under one rate for both. If the new rate is no larger, its product has expectation 1 at most at any time at which one may stop; by
// Ville's inequality it ever reaches 1/a with probability a at most. What is worse may begin late: the process is a mixture over the window
// at which it does. Each of the plan's cells has an equal part of FalseStop.
//
// No worse is judged by confidence sequences of both rates (Robbins' mixture of the binomial with a uniform prior), valid at all
// times together: the largest rate that the new may have is less than the smallest of the control plus the smallest effect that matters.
//
// A magnitude, such as the growth of memory, is judged by pairs (Pair): how often the new one's is the larger of two that differ, by a mixture of bets that are fair at half.
//
// Assumptions: requests of a window succeed or fail independently, at a rate that the cell's sidecars share. Where failures come in
// bunches, Bunch divides the counts by the size of a bunch.
//
// Invariants: the rate of false stops over all cells and looks is FalseStop at most; a window changes what later windows are judged by,
// never itself; without evidence the verdict is NotEnough.
package judge
