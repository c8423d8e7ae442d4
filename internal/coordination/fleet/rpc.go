package fleet

import (
	"encoding/json"
	"fmt"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/coordination/share"
)

// Version is the version of the messages below. A coordinator rejects messages of another version.
const Version = 1

// The paths of the calls, and the size limits of their messages. The paths contain an earlier name of the program.
const (
	PathRequest = "/petrelfleet.v1.Fleet/Ask"
	PathStatus  = "/petrelfleet.v1.Fleet/Status"
	PathStep    = "/petrelfleet.v1.Replica/Step"
	// MaxMessage bounds a message. It has room for a snapshot of the largest state.
	MaxMessage      = 64 << 20
	maxRequestBytes = 1 << 20 // room for the start of a rollout in the largest fleet
)

// Request is sent by a client to a coordinator; one of its fields specifies what is requested. A coordinator that does not lead
// responds with an error, and with the address of the leader if it knows it.
type Request struct {
	Version      int                   `json:"version"`
	Command      *lease.Command        `json:"command,omitempty"`
	KeepAlive    *replica.KeepAlive    `json:"alive,omitempty"`
	Rollout      *rollout.Command      `json:"rollout,omitempty"`
	Changes      *string               `json:"changes,omitempty"` // requests the rollouts of an application; "": the names of all applications
	StageResults bool                  `json:"results,omitempty"` // with Changes: includes the counts by which the stages were judged
	Limit        *share.Command        `json:"limit,omitempty"`
	Share        *replica.ShareRequest `json:"share,omitempty"`
	ListLimits   bool                  `json:"limits,omitempty"` // requests the status of all limits
	Publish      *distribute.Command   `json:"publish,omitempty"`
	Versions     *string               `json:"versions,omitempty"` // requests the newest version of a service with its content; "": of all services without content
	LastRevision *LastRevisionRequest  `json:"last,omitempty"`
	ListLeases   *string               `json:"list,omitempty"` // requests the leases whose names begin with this prefix
	Backup       bool                  `json:"backup,omitempty"`
	AddMember    *replica.Member       `json:"add,omitempty"`
	RemoveMember uint64                `json:"remove,omitempty"`
}

// LastRevisionRequest is sent by a coordinator to the leader. It requests the last revision of all services.
type LastRevisionRequest struct {
	HeldRevision distribute.Revision `json:"held,omitempty"` // the largest revision that an agent has reported to the sender
}

// Response is a coordinator's response to a Request. If Err is not empty, only Err and the fields that are marked "with Err" are
// set.
type Response struct {
	Err            string               `json:"err,omitempty"`      // the text of the error of a replica.Response
	OutcomeUnknown bool                 `json:"moved,omitempty"`    // with Err: the request may have been executed
	Leader         string               `json:"leader,omitempty"`   // with Err: the address of the leader, "" if unknown
	RetryAfterMs   int                  `json:"again_ms,omitempty"` // with Err: the delay before the next attempt
	Answer         lease.Answer         `json:"answer,omitzero"`
	SessionAlive   bool                 `json:"alive,omitempty"`
	Grants         []lease.Grant        `json:"grants,omitempty"`
	GrantsVersion  uint64               `json:"grants_version,omitempty"`
	Leases         []lease.Info         `json:"holdings,omitempty"`
	Backup         json.RawMessage      `json:"backup,omitempty"`
	Members        []replica.Member     `json:"members,omitempty"`
	Rollout        rollout.Response     `json:"rollout,omitzero"`
	LimitError     string               `json:"refused,omitempty"` // why a limit was not set or not allocated
	Share          share.Allocation     `json:"share,omitzero"`
	LimitStatuses  []share.LimitStatus  `json:"limits,omitempty"`
	Published      distribute.Answer    `json:"published,omitzero"`
	Versions       []distribute.Version `json:"versions,omitempty"`
	LastRevision   distribute.Revision  `json:"last,omitempty"`
	Changes        json.RawMessage      `json:"changes,omitempty"` // a rollout.Application or a list of names; empty if there is none
}

// Empty is a message with no content other than its version.
type Empty struct {
	Version int `json:"version"`
}

// StepRequest is sent by one replica to another. It contains a batch of messages in the encoding of raft. The receiver rejects a
// sender that the group has removed, or whose disk is not the recorded one, with CodeFailedPrecondition; the sender then ends.
type StepRequest struct {
	Version       int      `json:"version"`
	From          uint64   `json:"From"`
	To            uint64   `json:"To"`
	Incarnation   string   `json:"life"`              // the incarnation of the sender's disk
	ToIncarnation string   `json:"to_life,omitempty"` // the incarnation of the receiver's disk, if the log has recorded it
	Messages      [][]byte `json:"messages"`
}

// Client returns a client for one call to one coordinator.
func Client[Req, Res any](httpClient connect.HTTPClient, addr, path string) *connect.Client[Req, Res] {
	return rpc.Client[Req, Res](httpClient, addr, path, MaxMessage)
}

// CheckVersion returns an error unless v is the version of messages that this coordinator supports.
func CheckVersion(v int) error {
	if v != Version {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("version %d; this coordinator speaks %d: use the tool that came with it", v, Version))
	}
	return nil
}
