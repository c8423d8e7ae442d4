// Package distribute contains the state machines by which a version of a service's configuration reaches all sidecars of that
// service. It is pure: it starts no goroutines, reads no clock, and uses neither network nor disk. No type is safe for concurrent
// use.
//
//	Register         the newest version of each service, a function of the coordinators' log
//	Watches          the long polls of agents that wait at one coordinator for a newer version
//	RevisionTracker  the time for which a coordinator is confirmed to know all versions, and the revisions that agents hold
//	ReportTable      the reports of agents to one coordinator: which versions are in force, and why others are not
//	Subscriber       for one agent: which coordinator to call, when, and whether to accept a version
//	Outbox           for one agent: the reports that a coordinator has not acknowledged yet
//
// A version is identified by its revision, which the log assigns and which increases across all services, and by the digest of
// its content.
//
// Invariants: a subscriber only accepts a version of its service whose revision is above the one it holds and whose content
// matches the digest. A coordinator answers watches only with errors while it cannot confirm that it knows everything that was
// committed. A watch gets one response, with the newest version at that moment, so that no versions queue up for a slow agent.
package distribute

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"
)

// Revision numbers the accepted versions of all services, starting at 1. 0 stands for no version.
type Revision uint64

// Bounds of messages and contents.
const (
	MaxContent     = 64 << 10 // bytes of a version's content
	MaxServices    = 10_000
	MaxNameBytes   = 128 // bytes of a service's or a sidecar's name
	MaxReports     = 256 // in one watch, which carries the reports of one machine's sidecars
	MaxReasonBytes = 512 // bytes of a report's reason
)

// Version is a version of a service's configuration. Its content is a JSON object whose fields replace those of the settings of
// the release that a sidecar runs.
type Version struct {
	Service  string          `json:"service"`
	Revision Revision        `json:"revision"`
	Digest   string          `json:"digest"` // of Content
	Content  json.RawMessage `json:"content,omitempty"`
	// StepsDone says that the preparations that this version needs elsewhere are done, such as having servers remember keys for
	// longer.
	StepsDone bool `json:"steps_done,omitempty"`
}

// Digest returns the SHA-256 digest of a content in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Errors of a subscriber that rejects a version.
var (
	ErrNotNewer       = errors.New("the version is not newer than the one that is held")
	ErrWrongService   = errors.New("the version is that of another service")
	ErrDigestMismatch = errors.New("the content does not match its digest")
)

// Command is the command of the replicated log that publishes a version of a service. It is only accepted if the service's newest
// version has revision After, so that a version published concurrently is not replaced unseen. A repeated command, with the
// content of the newest version, returns that version's revision. The new revision is also above Above, because coordinators
// restored from a backup have lost the last revisions that they assigned.
type Command struct {
	Service string          `json:"service"`
	After   Revision        `json:"after,omitempty"`
	Above   Revision        `json:"above,omitempty"`
	Content json.RawMessage `json:"content"`

	StepsDone bool `json:"steps_done,omitempty"`
}

// Answer is the result of a command.
type Answer struct {
	Revision Revision `json:"revision,omitempty"` // the revision of the service's newest version after the command
	Refused  string   `json:"refused,omitempty"`  // why the version was not accepted; "": it was accepted
}

// Calls that every coordinator serves, and bounds of their messages. The paths contain the name that the program had when the
// calls were introduced.
const (
	PathWatch   = "/petrelfleet.v1.Distribute/Watch"
	PathSummary = "/petrelfleet.v1.Distribute/Summary"
	// WireVersion is the version of the messages of these calls. Messages of another version are refused.
	WireVersion = 1
	// MaxWatchRequest and MaxWatchResponse bound the messages of a watch, in bytes.
	MaxWatchRequest  = 512 << 10
	MaxWatchResponse = 256 << 10
)

// MaxWatchWait is the longest time for which a coordinator lets a watch wait.
const MaxWatchWait = 30 * time.Second

// Watch is the long poll that an agent sends to a coordinator, which answers as soon as the service's newest version is above
// Known, or after MaxWait.
type Watch struct {
	Version int           `json:"version"` // WireVersion
	Service string        `json:"service"`
	Member  string        `json:"member"` // the agent's name
	Known   Revision      `json:"holds"`
	MaxWait time.Duration `json:"hold_ns,omitempty"` // at most MaxWatchWait; 0: answered at once, for a watch that only carries reports
	Reports []Report      `json:"reports,omitempty"` // of all sidecars of the agent; nil if the coordinator already has them
}

// Report is the state of the versions at one sidecar, as its agent reports it.
type Report struct {
	Sidecar string   `json:"sidecar"`
	InForce Revision `json:"in_force"`          // 0: the settings of its release alone
	Refused Revision `json:"refused,omitempty"` // the newest permanently rejected version
	Reason  string   `json:"why,omitempty"`     // why Refused was rejected, or what the newest version is waiting for
}

// WatchResponse is the coordinator's answer to a Watch. Newer is nil if there was no newer version in time.
type WatchResponse struct {
	Newer           *Version `json:"newer,omitempty"`
	ReportsReceived bool     `json:"heard,omitempty"` // this coordinator has the agent's reports
}

// SummaryRequest is sent by the operators' tool to a coordinator and asks which versions are in force according to the reports
// there. An empty Service stands for all services that have a version.
type SummaryRequest struct {
	Version int    `json:"version"`
	Service string `json:"service,omitempty"`
}

// SummaryResponse is the coordinator's answer to a SummaryRequest.
type SummaryResponse struct {
	Last     Revision  `json:"last"`  // the last revision of all services that this coordinator knows
	Fresh    bool      `json:"fresh"` // the coordinator is confirmed to know all versions
	Services []Summary `json:"of,omitempty"`
}

// Summary says how many sidecars of one service run its newest version. Ahead is the largest revision above Newest that an agent
// holds, such as one assigned before the coordinators were restored from a backup; 0: none.
type Summary struct {
	Service  string          `json:"service"`
	Newest   Revision        `json:"newest"`
	Digest   string          `json:"digest,omitempty"`
	InForce  int             `json:"in_force"` // sidecars that run the newest version
	Reported int             `json:"known"`    // sidecars that were reported to the coordinator
	Ahead    Revision        `json:"ahead,omitempty"`
	Sidecars []SidecarReport `json:"members,omitempty"` // per sidecar; several coordinators list a sidecar whose agent has changed coordinators
}

// SidecarReport is a sidecar's last report at a coordinator.
type SidecarReport struct {
	Report
	Member string        `json:"member"` // the agent that sent it
	Age    time.Duration `json:"ago_ns"` // since the last contact of that agent
}
