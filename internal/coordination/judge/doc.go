// Package judge finds whether a new release is worse than the old one, from counts that come in windows, however often the verdict is read.
// It is pure: no clock, no I/O. It knows nothing of stages or sidecars, and it does not stop anything.
//
// A cell is one metric of one class in one zone, such as how many of the requests failed. New and control are counted at the same time, so
// that what happens to both, such as slow servers or twice the load, is no evidence.
//
// Worse is judged by an e-process for two proportions (Turner, Ly, Grünwald: Generic E-variables for exact sequential k-sample tests that
// allow for optional stopping, 2021): for each window the likelihood of the counts under the rates that the windows before suggest, over that
// under one rate for both. If the new rate is no larger, the product has an expectation of at most 1 at any stopping time; by Ville's
// inequality it ever reaches 1/a with a probability of at most a. A release may become worse late: the process is a mixture over the window
// at which it does. Each of the plan's cells has an equal share of FalseStopRate.
//
// No worse is judged by confidence sequences of both rates (Robbins' mixture of the binomial with a uniform prior), valid at all times
// together: the largest rate that the new release may have is below the smallest of the control plus the smallest effect that matters.
//
// A magnitude, such as the growth of memory, is judged by pairs (Judge.AddPair): how often that of the new release is the larger of two that
// differ, by a mixture of bets that are fair at one half.
//
// Assumptions: the requests of a window succeed or fail independently, at a rate that the sidecars of the cell share. Where failures come in
// clusters, Plan.ClusterSize divides the counts by the size of a cluster.
//
// Invariants: the rate of false stops over all cells and windows is at most FalseStopRate; a window changes what later windows are judged
// by, never itself; without evidence the verdict is NotEnough.
package judge
