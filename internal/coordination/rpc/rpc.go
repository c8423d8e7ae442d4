// Package rpc is how coordinators, agents and their clients call one another: connectrpc.com/connect over HTTP/1.1 with messages that are
// structs in JSON. It knows no message. There is no sign-in and no TLS: whoever reaches an address may send requests, so servers listen on
// loopback unless their settings say otherwise.
package rpc

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
)

// codec marshals plain structs as JSON; connect's own wants protobuf messages.
type codec struct{}

func (codec) Name() string                       { return "json" }
func (codec) Marshal(m any) ([]byte, error)      { return json.Marshal(m) }
func (codec) Unmarshal(text []byte, m any) error { return json.Unmarshal(text, m) }

// Client returns a client of one call at an address (host:port). A response of more than maxBytes is an error.
func Client[Req, Res any](httpClient connect.HTTPClient, addr, path string, maxBytes int) *connect.Client[Req, Res] {
	return connect.NewClient[Req, Res](httpClient, "http://"+addr+path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBytes))
}

// Handle registers the handler of one call; requests of more than maxBytes are refused. handle is called for each request, on a goroutine
// of its own; its error is sent with its connect code, Unknown where it has none.
func Handle[Req, Res any](mux *http.ServeMux, path string, maxBytes int, handle func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, in *connect.Request[Req]) (*connect.Response[Res], error) {
		out, err := handle(ctx, in.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(out), nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBytes)))
}
