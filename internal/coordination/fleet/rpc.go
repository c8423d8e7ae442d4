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

// Version is that of the messages below. A coordinator refuses another one.
const Version = 1

// The paths of the calls, and the bounds of their messages. The paths have the name that the program had when they were made.
const (
	PathRequest = "/petrelfleet.v1.Fleet/Ask"
	PathStatus  = "/petrelfleet.v1.Fleet/Status"
	PathStep    = "/petrelfleet.v1.Replica/Step"
	// MaxMessage bounds a message: a snapshot of the largest state.
	MaxMessage = 64 << 20
	maxRequest = 1 << 20 // the start of a change of the largest fleet
)

// Request is sent by a client to a coordinator; one of its fields says what is requested. A coordinator that does not lead answers with an
// error that names the leader, if it knows it.
type Request struct {
	Version      int                   `json:"version"`
	Command      *lease.Command        `json:"command,omitempty"`
	KeepAlive    *replica.KeepAlive    `json:"alive,omitempty"`
	Rollout      *rollout.Command      `json:"rollout,omitempty"`
	Changes      *string               `json:"changes,omitempty"` // the rolling changes of an application; "": the names of applications
	StageResults bool                  `json:"results,omitempty"` // Changes: with the counts that the stages were judged by
	Limit        *share.Command        `json:"limit,omitempty"`
	Share        *replica.ShareRequest `json:"share,omitempty"`
	ListLimits   bool                  `json:"limits,omitempty"` // the status of all limits
	Publish      *distribute.Command   `json:"publish,omitempty"`
	Versions     *string               `json:"versions,omitempty"` // the newest version of a service, with its content; "": of all, without
	LastRevision *LastRevisionRequest  `json:"last,omitempty"`
	ListLeases   *string               `json:"list,omitempty"` // the leases whose names begin with a prefix
	Backup       bool                  `json:"backup,omitempty"`
	AddMember    *replica.Member       `json:"add,omitempty"`
	RemoveMember uint64                `json:"remove,omitempty"`
}

// LastRevisionRequest is sent by a coordinator to the leader, for the last revision of all services.
type LastRevisionRequest struct {
	HeldRevision distribute.Revision `json:"held,omitempty"` // the largest one that an agent has reported to the sender
}

// Response is a coordinator's answer to a Request. Where Err is not empty nothing else is set but what follows it.
type Response struct {
	Err            string               `json:"err,omitempty"`      // that of a replica.Response
	OutcomeUnknown bool                 `json:"moved,omitempty"`    // with Err: the request may have been carried out
	Leader         string               `json:"leader,omitempty"`   // with Err: the leader's address, "" if it is not known
	RetryAfterMs   int                  `json:"again_ms,omitempty"` // with Err: when to try again
	Answer         lease.Answer         `json:"answer,omitzero"`
	SessionAlive   bool                 `json:"alive,omitempty"`
	Grants         []lease.Grant        `json:"grants,omitempty"`
	GrantsVersion  uint64               `json:"grants_version,omitempty"`
	Leases         []lease.Info         `json:"holdings,omitempty"`
	Backup         json.RawMessage      `json:"backup,omitempty"`
	Members        []replica.Member     `json:"members,omitempty"`
	Rollout        rollout.Response     `json:"rollout,omitzero"`
	LimitError     string               `json:"refused,omitempty"` // why a limit was not set, or nothing of it is allocated
	Share          share.Allocation     `json:"share,omitzero"`
	LimitStatuses  []share.LimitStatus  `json:"limits,omitempty"`
	Published      distribute.Answer    `json:"published,omitzero"`
	Versions       []distribute.Version `json:"versions,omitempty"`
	LastRevision   distribute.Revision  `json:"last,omitempty"`
	Changes        json.RawMessage      `json:"changes,omitempty"` // a rollout.Application, or names; empty: there is none
}

// Empty is a message that carries its version alone.
type Empty struct {
	Version int `json:"version"`
}

// StepRequest is sent by one replica to another: a batch of messages in raft's own form. The receiver refuses a sender that the group has
// removed, or whose disk is not the recorded one, with FailedPrecondition: then the sender ends.
type StepRequest struct {
	Version       int      `json:"version"`
	From          uint64   `json:"From"`
	To            uint64   `json:"To"`
	Incarnation   string   `json:"life"`              // of the sender's disk
	ToIncarnation string   `json:"to_life,omitempty"` // of the receiver's disk, if the log has it
	Messages      [][]byte `json:"messages"`
}

// Client returns a client of one call at one coordinator.
func Client[Req, Res any](httpClient connect.HTTPClient, addr, path string) *connect.Client[Req, Res] {
	return rpc.Client[Req, Res](httpClient, addr, path, MaxMessage)
}

// CheckVersion refuses a message of another version.
func CheckVersion(v int) error {
	if v != Version {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("version %d; this coordinator speaks %d: use the tool that came with it", v, Version))
	}
	return nil
}
