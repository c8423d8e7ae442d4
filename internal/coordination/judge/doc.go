// Package judge decides whether a new release is worse than the old one. It compares counts that arrive in windows. The bounds on its
// errors are valid no matter how often the verdict is read (sequential testing). It does no I/O and reads no clock, and it depends on
// neither stages nor sidecars.
//
// A cell is one metric of one class in one zone, such as how many of the requests failed. The new release and the control group are
// counted at the same time, so that an influence on both, such as slow servers or twice the load, does not count as evidence.
//
// The verdict Worse is decided by an e-process for two proportions (Turner, Ly, Grünwald: Generic E-variables for exact sequential
// k-sample tests that allow for optional stopping, 2021). Each window contributes a factor: the likelihood of its counts under two rates
// that are estimated from the previous windows, divided by their likelihood under one rate for both. If the new rate is no larger, the
// product of the factors has an expectation of at most 1 at any stopping time; by Ville's inequality the probability that it ever reaches
// 1/alpha is at most alpha. A release may become worse only after some windows, so the evidence is a weighted mean of the products that
// start at each window. FalseStopRate is divided equally among the plan's cells.
//
// The verdict NoWorse is decided by confidence sequences of both rates (Robbins' mixture of the binomial with a uniform prior), which are
// valid at all times simultaneously: the upper bound of the new rate must be below the lower bound of the control's rate plus the
// smallest effect that matters.
//
// A magnitude, such as the growth of memory, is judged by pairs of values that differ (Judge.AddPair): how often the new release has the
// larger value of a pair. The evidence is a mixture of bets that are fair if the probability of this is one half.
//
// Assumptions: the requests of a window succeed or fail independently, at a rate that the sidecars of the cell share. If failures come in
// clusters, Plan.ClusterSize divides the counts by the size of a cluster.
//
// Invariants: the probability of a false stop, over all cells and windows, is at most FalseStopRate; the rates with which a window is
// tested are estimated from earlier windows only; without evidence the verdict is NotEnough.
package judge
