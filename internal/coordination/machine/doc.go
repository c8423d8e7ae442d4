// Package machine runs the sidecars of one machine: it starts, probes, signals and restores their processes, keeps their state on the
// disk and answers the calls of drivers. It decides nothing about them: agent.Sidecar says what is to be done with a sidecar, and
// rollout.Fence which orders are accepted.
//
// One goroutine, that of Machine.Run, owns all state. Probes, checks and calls run beside it and hand it functions by Machine.post.
//
// Invariants: state is on the disk before anything that rests on it is carried out or answered; a signal goes to the process that is
// meant or to none; a start is made once, even if the agent is killed in the middle of it; an agent that ends leaves its sidecars as
// they are.
package machine
