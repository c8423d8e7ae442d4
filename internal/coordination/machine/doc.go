// Package machine is the agent of one machine. It starts, probes, signals and restores the processes of the machine's sidecars,
// persists their state and serves the calls of drivers. It makes no decisions about sidecars: agent.Sidecar decides which actions
// to take, and rollout.Fence which orders to accept.
//
// One goroutine, that of Machine.Run, owns all state. Probes, checks and calls run on other goroutines and pass functions to the
// owner by Machine.post.
//
// Invariants: state is on the disk before an action that depends on it is executed or a call that depends on it is answered; a
// signal reaches the intended process or none; a start creates at most one process, even if the agent is killed in the middle of
// it; an agent that exits leaves its sidecars running.
package machine
