package machine

import (
	"encoding/json"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/rollout"
)

// Version is the version of the messages below. An agent refuses another one.
const Version = 1

// The paths of an agent's calls, and the bounds of their messages.
const (
	PathStatus = "/petrelagent.v1.Agent/Look"
	PathOrder  = "/petrelagent.v1.Agent/Order"
	PathCheck  = "/petrelagent.v1.Agent/Check"

	maxRequestBytes = 64 << 10
	// MaxResponseBytes bounds a response: the counts of a machine full of sidecars.
	MaxResponseBytes = 16 << 20
)

// StatusRequest asks an agent for the status of its sidecars. Drivers send it at every poll, with their fencing token: then the agent
// takes the coordinators to be in contact, refuses drivers with older tokens from then on, and confirms the named release. Others send
// it without a token.
type StatusRequest struct {
	Version     int    `json:"version"`
	Application string `json:"application"`
	Token       uint64 `json:"token,omitempty"`
	Confirmed   string `json:"confirmed,omitempty"` // the release that the rollout has confirmed; "": none
}

// Status answers a StatusRequest.
type Status struct {
	Sidecars []SidecarStatus `json:"sidecars"`
}

// SidecarStatus is the status of one sidecar. Driver and judge read the counts.
type SidecarStatus struct {
	rollout.Report
	Zone          string          `json:"zone,omitempty"`
	Phase         string          `json:"phase"`
	Confirmed     string          `json:"confirmed"`
	Process       agent.Process   `json:"process"` // the serving process, which Counts, CPUTicks and ResidentBytes are about
	Counts        json.RawMessage `json:"counts,omitempty"`
	CPUTicks      uint64          `json:"cpu,omitempty"`    // processor time used so far, in clock ticks of the system
	ResidentBytes uint64          `json:"memory,omitempty"` // resident memory
}

// Order asks an agent to carry out an order of a rollout. The driver with the token sends it, again at every poll until a status says
// that the order is over.
type Order struct {
	Version     int           `json:"version"`
	Application string        `json:"application"`
	Token       uint64        `json:"token"`
	Order       rollout.Order `json:"order"`
}

// OrderResponse says that an order was accepted. An agent carries an order out once, however often it comes.
type OrderResponse struct {
	Known bool `json:"known"` // it had been accepted before
}

// CheckRequest asks whether a release of the agent's store could run on this machine. petrelhookctl sends it before a rollout begins.
type CheckRequest struct {
	Version int    `json:"version"`
	Release string `json:"release"`
}

// CheckResponse says that the program of the release accepts its settings for every sidecar of the machine.
type CheckResponse struct {
	Settings json.RawMessage `json:"settings"` // the release's own
}
