package machine

import (
	"encoding/json"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/coordination/rollout"
)

// Version is the version of the messages below. An agent rejects messages of another version.
const Version = 1

// The paths of an agent's calls, and the size limits of their messages.
const (
	PathStatus = "/petrelagent.v1.Agent/Look"
	PathOrder  = "/petrelagent.v1.Agent/Order"
	PathCheck  = "/petrelagent.v1.Agent/Check"

	maxRequestBytes = 64 << 10
	// MaxResponseBytes bounds a response. It has room for the counts of a machine with many sidecars.
	MaxResponseBytes = 16 << 20
)

// StatusRequest asks an agent for the status of its sidecars. Drivers send it at every poll, with their fencing token; the agent
// then counts as in contact with the coordinators, rejects drivers with older tokens from then on, and confirms the named
// release. Other clients send it without a token.
type StatusRequest struct {
	Version     int    `json:"version"`
	Application string `json:"application"`
	Token       uint64 `json:"token,omitempty"`
	Confirmed   string `json:"confirmed,omitempty"` // the release that the rollout has confirmed; "": none
}

// Status is the response to a StatusRequest.
type Status struct {
	Sidecars []SidecarStatus `json:"sidecars"`
}

// SidecarStatus is the status of one sidecar. The driver and the judge of rollouts read the counts.
type SidecarStatus struct {
	rollout.Report
	Zone          string          `json:"zone,omitempty"`
	Phase         string          `json:"phase"`
	Confirmed     string          `json:"confirmed"`
	Process       agent.Process   `json:"process"` // the serving process, to which Counts, CPUTicks and ResidentBytes belong
	Counts        json.RawMessage `json:"counts,omitempty"`
	CPUTicks      uint64          `json:"cpu,omitempty"`    // processor time used so far, in clock ticks of the system
	ResidentBytes uint64          `json:"memory,omitempty"` // resident memory
}

// Order asks an agent to execute an order of a rollout. The driver with the token sends it, and repeats it at every poll until a
// status reports that the order has completed or failed.
type Order struct {
	Version     int           `json:"version"`
	Application string        `json:"application"`
	Token       uint64        `json:"token"`
	Order       rollout.Order `json:"order"`
}

// OrderResponse says that an order was accepted. An agent executes an order once, however often it is sent.
type OrderResponse struct {
	Known bool `json:"known"` // the order had been accepted before
}

// CheckRequest asks whether a release in the agent's store could run on this machine. petrelhookctl sends it before a rollout
// begins.
type CheckRequest struct {
	Version int    `json:"version"`
	Release string `json:"release"`
}

// CheckResponse says that the program of the release accepts its settings for every sidecar of the machine.
type CheckResponse struct {
	Settings json.RawMessage `json:"settings"` // the settings of the release, without overrides
}
