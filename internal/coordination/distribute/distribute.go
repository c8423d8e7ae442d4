// Package distribute is how a version of a service's configuration gets to all sidecars of that service. It is pure: no goroutine, no
// clock, no socket, no disk.
//
//	Register    which version of each service is the newest: a function of the coordinators' log
//	Watches     calls of agents that wait at one coordinator until something of theirs is newer
//	Subscriber  one agent: whom to ask, when to ask again, and whether to take what is told
//	Sums        what agents have said is in force, and why something is not
//
// A version is named by its revision, which grows over all services and is given by the log, and by the digest of its content.
//
// Invariants: a subscriber never takes a version whose revision is not above that of the one it holds, nor one of another service, nor
// one whose content does not have its digest; a coordinator tells nothing while it can't confirm that it knows what was committed; a
// watch gets one answer, with the newest version at that moment, so nothing queues for who is slow.
package distribute

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"
)

// Revision numbers accepted versions over all services, from 1 on. 0: none.
type Revision uint64

// Bounds.
const (
	MaxContent     = 64 << 10 // bytes of a version's content
	MaxServices    = 10_000
	MaxNameBytes   = 128 // bytes of a service's or a sidecar's name
	MaxReports     = 256 // in one watch: sidecars of one machine
	MaxReasonBytes = 512 // bytes of a report's reason
)

// Version is one service's configuration: a JSON object whose fields go over those of the release that a sidecar runs.
type Version struct {
	Service  string          `json:"service"`
	Revision Revision        `json:"revision"`
	Digest   string          `json:"digest"` // of Content
	Content  json.RawMessage `json:"content,omitempty"`
	// StepsDone says that what has to be done elsewhere first, as servers that have to remember keys for longer, was done.
	StepsDone bool `json:"steps_done,omitempty"`
}

// Digest names a content: SHA-256 of its bytes, in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// What a version may be refused for.
var (
	ErrNotNewer       = errors.New("it is not newer than the one that is held")
	ErrWrongService   = errors.New("it is of another service")
	ErrDigestMismatch = errors.New("its content does not have its digest")
)

// Command is an entry of the replicated log: a service gets a version. It is accepted only where the service's newest has revision
// After, so that one who publishes never runs over what was published meanwhile; one that is asked again, with the content that is
// the newest already, gets that one's revision. Its revision is above Above, too: a group that was restored has forgotten what it gave.
type Command struct {
	Service string          `json:"service"`
	After   Revision        `json:"after,omitempty"`
	Above   Revision        `json:"above,omitempty"`
	Content json.RawMessage `json:"content"`

	StepsDone bool `json:"steps_done,omitempty"`
}

// Answer is what became of a command.
type Answer struct {
	Revision Revision `json:"revision,omitempty"` // of the service's newest now
	Refused  string   `json:"refused,omitempty"`  // "": it is the one that was asked for
}

// The calls, at every coordinator.
const (
	PathWatch   = "/petrelfleet.v1.Distribute/Watch"
	PathSummary = "/petrelfleet.v1.Distribute/Summary"
	// WireVersion is of the messages of these calls. Another one is refused.
	WireVersion = 1
	// MaxWatchRequest and MaxTold bound the messages of a watch, in bytes.
	MaxWatchRequest  = 512 << 10
	MaxWatchResponse = 256 << 10
)

// MaxWatchWait is the longest a coordinator lets a watch wait.
const MaxWatchWait = 30 * time.Second

// Watch is an agent's question: it is answered when the service's newest version is above Holds, or after Hold.
type Watch struct {
	Version int           `json:"version"` // WireVersion
	Service string        `json:"service"`
	Member  string        `json:"member"` // who asks: an agent's name
	Known   Revision      `json:"holds"`
	MaxWait time.Duration `json:"hold_ns,omitempty"` // at most MaxHold; 0: answered at once, so that reports come at once
	Reports []Report      `json:"reports,omitempty"` // of all its sidecars, where one has changed or the coordinator is another than before
}

// Report is what an agent says of one of its sidecars.
type Report struct {
	Sidecar string   `json:"sidecar"`
	InForce Revision `json:"in_force"`          // 0: only what its release says
	Refused Revision `json:"refused,omitempty"` // the newest one that was not put in force, for good
	Reason  string   `json:"why,omitempty"`     // and why, or what the newest waits for
}

// WatchResponse is the answer to a watch. Newer is nil where nothing came in time.
type WatchResponse struct {
	Newer           *Version `json:"newer,omitempty"`
	ReportsReceived bool     `json:"heard,omitempty"` // this coordinator has the member's reports
}

// SummaryRequest is a question for what is in force, as one coordinator has heard it. Service "": of all services that have a version.
type SummaryRequest struct {
	Version int    `json:"version"`
	Service string `json:"service,omitempty"`
}

// SummaryResponse is the answer.
type SummaryResponse struct {
	Last     Revision  `json:"last"` // of all services, as this coordinator knows
	Fresh    bool      `json:"fresh"`
	Services []Summary `json:"of,omitempty"`
}

// Summary is of one service.
type Summary struct {
	Service  string          `json:"service"`
	Newest   Revision        `json:"newest"`
	Digest   string          `json:"digest,omitempty"`
	InForce  int             `json:"in_force"` // sidecars that run the newest
	Reported int             `json:"known"`    // sidecars that were heard of here
	Ahead    Revision        `json:"ahead,omitempty"`
	Members  []SidecarReport `json:"members,omitempty"` // each sidecar: one that moved has been heard at several coordinators
}

// SidecarReport is a sidecar's last report at this coordinator, and how long ago its agent spoke.
type SidecarReport struct {
	Report
	Member string        `json:"member"`
	Age    time.Duration `json:"ago_ns"`
}
