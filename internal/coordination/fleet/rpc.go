package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"connectrpc.com/connect"

	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rollout"
	"petrelhook/internal/coordination/rpc"
	"petrelhook/internal/coordination/share"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Version is of the messages below. Another one is refused.
const Version = 1

// The calls.
const (
	PathRequest = "/petrelfleet.v1.Fleet/Ask"
	PathStatus  = "/petrelfleet.v1.Fleet/Status"
	PathStep    = "/petrelfleet.v1.Replica/Step"
	// MaxMessage bounds a message: a snapshot of the largest state.
	MaxMessage = 64 << 20
	maxRequest = 1 << 20 // the start of a change of the largest fleet
)

// Request is a question of a client; one field says what.
type Request struct {
	Version      int                   `json:"version"`
	Command      *lease.Command        `json:"command,omitempty"`
	KeepAlive    *replica.KeepAlive    `json:"alive,omitempty"`
	Rollout      *rollout.Command      `json:"rollout,omitempty"`
	Changes      *string               `json:"changes,omitempty"` // of an application; "": which applications there are
	StageResults bool                  `json:"results,omitempty"` // with what the stages of the change were counted to have done
	Limit        *share.Command        `json:"limit,omitempty"`
	Share        *replica.ShareRequest `json:"share,omitempty"`
	ListLimits   bool                  `json:"limits,omitempty"` // how they stand
	Publish      *distribute.Command   `json:"publish,omitempty"`
	Versions     *string               `json:"versions,omitempty"` // the newest of a service, with its content; "": of all, without
	LastRevision *LastRevisionRequest  `json:"last,omitempty"`     // the revision of the last version of all
	ListLeases   *string               `json:"list,omitempty"`     // leases whose names begin so
	Backup       bool                  `json:"backup,omitempty"`
	AddMember    *replica.Member       `json:"add,omitempty"`
	RemoveMember uint64                `json:"remove,omitempty"`
}

// Response is the answer. Again is when to ask again, in milliseconds, where Err says that nothing, or nothing certain, came of it.
type Response struct {
	Err            string               `json:"err,omitempty"`
	OutcomeUnknown bool                 `json:"moved,omitempty"` // it may have been done
	Leader         string               `json:"leader,omitempty"`
	RetryAfterMs   int                  `json:"again_ms,omitempty"`
	Answer         lease.Answer         `json:"answer,omitzero"`
	SessionAlive   bool                 `json:"alive,omitempty"`
	Grants         []lease.Grant        `json:"grants,omitempty"`
	GrantsVersion  uint64               `json:"grants_version,omitempty"`
	Leases         []lease.Info         `json:"holdings,omitempty"`
	Backup         json.RawMessage      `json:"backup,omitempty"`
	Members        []replica.Member     `json:"members,omitempty"`
	Rollout        rollout.Response     `json:"rollout,omitzero"`
	LimitError     string               `json:"refused,omitempty"` // why a limit was not set, or no part of it is given
	Share          share.Allocation     `json:"share,omitzero"`
	LimitStatuses  []share.LimitStatus  `json:"limits,omitempty"`
	Published      distribute.Answer    `json:"published,omitzero"`
	Versions       []distribute.Version `json:"versions,omitempty"`
	LastRevision   distribute.Revision  `json:"last,omitempty"`
	Changes        json.RawMessage      `json:"changes,omitempty"` // a rollout.Application, or names; empty: there is none
}

// LastRevisionRequest is a coordinator's question to the leader, with the largest revision that an agent has told it of.
type LastRevisionRequest struct {
	HeldRevision distribute.Revision `json:"held,omitempty"`
}

// Empty is a message without content but its version.
type Empty struct {
	Version int `json:"version"`
}

// StepRequest are messages of one replica to another, in the log's own form.
type StepRequest struct {
	Version       int      `json:"version"`
	From          uint64   `json:"From"`
	To            uint64   `json:"To"`
	Incarnation   string   `json:"life"`              // of the disk that they come from
	ToIncarnation string   `json:"to_life,omitempty"` // of the one that they are for, if it is known
	Messages      [][]byte `json:"messages"`
}

// Client makes calls of a kind to one coordinator.
func Client[Req, Res any](over connect.HTTPClient, addr, path string) *connect.Client[Req, Res] {
	return rpc.Client[Req, Res](over, addr, path, MaxMessage)
}

// CheckVersion refuses another version.
func CheckVersion(v int) error {
	if v != Version {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("version %d; this coordinator speaks %d: use the tool that came with it", v, Version))
	}
	return nil
}
