package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"connectrpc.com/connect"

	"petrelhook/internal/lease"
	"petrelhook/internal/replica"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Version is of the messages below. Another one is refused.
const Version = 1

// The calls.
const (
	PathAsk    = "/petrelfleet.v1.Fleet/Ask"
	PathStatus = "/petrelfleet.v1.Fleet/Status"
	PathStep   = "/petrelfleet.v1.Replica/Step"
	// MaxMessage bounds a message: a snapshot of the largest state.
	MaxMessage = 64 << 20
	maxAsk     = 64 << 10
)

// Ask is a question of a client; one field says what.
type Ask struct {
	Version int             `json:"version"`
	Command *lease.Command  `json:"command,omitempty"`
	Alive   *replica.Alive  `json:"alive,omitempty"`
	List    *string         `json:"list,omitempty"` // leases whose names begin so
	Backup  bool            `json:"backup,omitempty"`
	Add     *replica.Member `json:"add,omitempty"`
	Remove  uint64          `json:"remove,omitempty"`
}

// Told is the answer. Again is when to ask again, in milliseconds, where Err says that nothing, or nothing certain, came of it.
type Told struct {
	Err      string           `json:"err,omitempty"`
	Moved    bool             `json:"moved,omitempty"` // it may have been done
	Leader   string           `json:"leader,omitempty"`
	Again    int              `json:"again_ms,omitempty"`
	Answer   lease.Answer     `json:"answer,omitzero"`
	Alive    bool             `json:"alive,omitempty"`
	Grants   []lease.Grant    `json:"grants,omitempty"`
	Version  uint64           `json:"grants_version,omitempty"`
	Holdings []lease.Holding  `json:"holdings,omitempty"`
	Backup   json.RawMessage  `json:"backup,omitempty"`
	Members  []replica.Member `json:"members,omitempty"`
}

// Nothing is a message without content but its version.
type Nothing struct {
	Version int `json:"version"`
}

// Steps are messages of one replica to another, in the log's own form.
type Steps struct {
	Version  int `json:"version"`
	From, To uint64
	Life     string   `json:"life"`              // of the disk that they come from
	ToLife   string   `json:"to_life,omitempty"` // of the one that they are for, if it is known
	Messages [][]byte `json:"messages"`
}

// codec is JSON of plain structs.
type codec struct{}

func (codec) Name() string                       { return "json" }
func (codec) Marshal(m any) ([]byte, error)      { return json.Marshal(m) }
func (codec) Unmarshal(text []byte, m any) error { return json.Unmarshal(text, m) }

// Client makes calls of a kind to one coordinator.
func Client[Req, Res any](over connect.HTTPClient, addr, path string) *connect.Client[Req, Res] {
	return connect.NewClient[Req, Res](over, "http://"+addr+path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage))
}

// handle answers calls of a kind.
func handle[Req, Res any](mux *http.ServeMux, path string, most int, f func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, in *connect.Request[Req]) (*connect.Response[Res], error) {
		out, err := f(ctx, in.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(out), nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(most)))
}

// CheckVersion refuses another version.
func CheckVersion(v int) error {
	if v != Version {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("version %d; this coordinator speaks %d: use the tool that came with it", v, Version))
	}
	return nil
}
