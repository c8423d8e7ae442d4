// Package distribute is the rules by which a version of a service's configuration reaches all sidecars of that service. It is pure: no
// goroutine, no clock, no socket, no disk. No type is safe for concurrent use.
//
//	Register         which version of each service is the newest: a function of the coordinators' log
//	Watches          calls of agents that wait at one coordinator until there is a newer version
//	RevisionTracker  up to when a coordinator is confirmed to know all versions, and which revisions agents hold
//	ReportTable      what agents have reported to one coordinator to be in force, and why something is not
//	Subscriber       one agent: which coordinator to call, when, and whether to accept a version
//	Outbox           one agent: which reports a coordinator has not acknowledged yet
//
// A version is named by its revision, which is given by the log and grows over all services, and by the digest of its content.
//
// Invariants: a subscriber never accepts a version whose revision is not above that of the one it holds, nor one of another service, nor
// one whose content does not match its digest. A coordinator answers nothing while it cannot confirm that it knows what was committed. A
// watch gets one response, with the newest version at that moment, so nothing queues for an agent that is slow.
package distribute

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"
)

// Revision numbers the accepted versions of all services, from 1 on. 0: none.
type Revision uint64

// The bounds of messages and contents.
const (
	MaxContent     = 64 << 10 // bytes of a version's content
	MaxServices    = 10_000
	MaxNameBytes   = 128 // bytes of a service's or a sidecar's name
	MaxReports     = 256 // in one watch: sidecars of one machine
	MaxReasonBytes = 512 // bytes of a report's reason
)

// Version is a version of a service's configuration: a JSON object whose fields replace those of the release that a sidecar runs.
type Version struct {
	Service  string          `json:"service"`
	Revision Revision        `json:"revision"`
	Digest   string          `json:"digest"` // of Content
	Content  json.RawMessage `json:"content,omitempty"`
	// StepsDone says that the steps were done that have to come first elsewhere, as where servers have to remember keys for longer.
	StepsDone bool `json:"steps_done,omitempty"`
}

// Digest returns the digest of a content: SHA-256 of its bytes, in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Reasons for which a subscriber refuses a version.
var (
	ErrNotNewer       = errors.New("the version is not newer than the one that is held")
	ErrWrongService   = errors.New("the version is that of another service")
	ErrDigestMismatch = errors.New("the content does not match its digest")
)

// Command is a command of the replicated log: a service gets a version. It is accepted only where the service's newest version has revision
// After, so that nobody replaces a version that was published meanwhile; a command that is repeated, with the content of the newest version,
// gets the revision of that. The revision is above Above, too: a group that was restored has forgotten the last ones that it gave.
type Command struct {
	Service string          `json:"service"`
	After   Revision        `json:"after,omitempty"`
	Above   Revision        `json:"above,omitempty"`
	Content json.RawMessage `json:"content"`

	StepsDone bool `json:"steps_done,omitempty"`
}

// Answer is the outcome of a command.
type Answer struct {
	Revision Revision `json:"revision,omitempty"` // of the service's newest version after it
	Refused  string   `json:"refused,omitempty"`  // why the version was not accepted; "": it was
}

// The calls of every coordinator, and the bounds of their messages. The paths have the name that the program had when they were made.
const (
	PathWatch   = "/petrelfleet.v1.Distribute/Watch"
	PathSummary = "/petrelfleet.v1.Distribute/Summary"
	// WireVersion is that of the messages of these calls. Another one is refused.
	WireVersion = 1
	// MaxWatchRequest and MaxWatchResponse bound the messages of a watch, in bytes.
	MaxWatchRequest  = 512 << 10
	MaxWatchResponse = 256 << 10
)

// MaxWatchWait is the longest a coordinator lets a watch wait.
const MaxWatchWait = 30 * time.Second

// Watch is sent by an agent to a coordinator, which answers when the service's newest version is above Known, or after MaxWait.
type Watch struct {
	Version int           `json:"version"` // WireVersion
	Service string        `json:"service"`
	Member  string        `json:"member"` // the agent's name
	Known   Revision      `json:"holds"`
	MaxWait time.Duration `json:"hold_ns,omitempty"` // at most MaxWatchWait; 0: answered at once, where it only carries reports
	Reports []Report      `json:"reports,omitempty"` // of all its sidecars; nil where the coordinator has them already
}

// Report is the state of one sidecar, as its agent reports it.
type Report struct {
	Sidecar string   `json:"sidecar"`
	InForce Revision `json:"in_force"`          // 0: the configuration of its release alone
	Refused Revision `json:"refused,omitempty"` // the newest one that was refused permanently
	Reason  string   `json:"why,omitempty"`     // why, or what the newest version waits for
}

// WatchResponse is the coordinator's answer to a Watch. Newer is nil where there was nothing newer in time.
type WatchResponse struct {
	Newer           *Version `json:"newer,omitempty"`
	ReportsReceived bool     `json:"heard,omitempty"` // this coordinator has the reports of the member
}

// SummaryRequest is sent by the operators' tool to a coordinator, for what is in force by the reports there. Service "": of all services that
// have a version.
type SummaryRequest struct {
	Version int    `json:"version"`
	Service string `json:"service,omitempty"`
}

// SummaryResponse is the coordinator's answer to a SummaryRequest.
type SummaryResponse struct {
	Last     Revision  `json:"last"`  // of all services, as far as this coordinator knows
	Fresh    bool      `json:"fresh"` // it is confirmed to know all versions
	Services []Summary `json:"of,omitempty"`
}

// Summary is how far the newest version of one service has come.
type Summary struct {
	Service  string          `json:"service"`
	Newest   Revision        `json:"newest"`
	Digest   string          `json:"digest,omitempty"`
	InForce  int             `json:"in_force"` // sidecars that run the newest version
	Reported int             `json:"known"`    // sidecars that were reported here
	Ahead    Revision        `json:"ahead,omitempty"`
	Members  []SidecarReport `json:"members,omitempty"` // by sidecar; one whose agent has changed coordinators is at several of them
}

// SidecarReport is a sidecar's last report at a coordinator.
type SidecarReport struct {
	Report
	Member string        `json:"member"` // the agent that sent it
	Age    time.Duration `json:"ago_ns"` // since the last contact of that agent
}
