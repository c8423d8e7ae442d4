// Package agent decides how the processes of one sidecar on one machine are supervised: which one is started, how a new release
// takes over from the serving one, when a change is abandoned, and how a version of the configuration comes into force. Sidecar
// is a pure state machine: orders and observations go in, actions come out. It starts no process, reads no clock and writes no
// file; package machine does that.
//
// The phases of a sidecar:
//
//	Idle      at most one process, which serves; if there is none, one is started after a backoff that doubles with each crash
//	Starting  a second process is started beside the serving one and has to become ready in time
//	Trial     both processes run; the new one has to survive its trial period
//	Ending    the old process was sent SIGTERM, and is killed if it does not exit in time
//
// A release is confirmed when the coordinators say that its rollout is over. Until then a machine that is isolated from them for longer
// than Limits.IsolationTimeout falls back to the confirmed release.
//
// A version of the service's configuration is applied while no change of the release is in progress. The program of each release that
// may be started with the version checks it first. Then either the serving process reloads its file, or a new process is started with
// the version, as in a change of the release. Every other start uses the version in force. An order of a rollout takes precedence.
// See ConfigurationState.
//
// Invariants: there are never more than two processes; the old process of a change is ended only after the new one has become
// ready and survived its trial; a change that fails leaves the serving process as it was; an order is carried out once, even if
// the agent is killed at any moment and another one continues from the persisted state and the running processes that it finds;
// the version in force is never replaced by an older one, and a rejected version is not tried again.
//
// A Sidecar is not safe for concurrent use.
package agent
