// Package rpc implements the calls between coordinators, agents and their clients: connectrpc.com/connect over HTTP/1.1, with Go
// structs encoded as JSON. The messages are defined by other packages. There is neither authentication nor TLS: anyone who can
// reach an address may send requests, so servers listen on loopback addresses unless their settings allow others.
package rpc

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
)

// codec encodes plain structs as JSON. The JSON codec of connect accepts only protobuf messages.
type codec struct{}

func (codec) Name() string                       { return "json" }
func (codec) Marshal(m any) ([]byte, error)      { return json.Marshal(m) }
func (codec) Unmarshal(text []byte, m any) error { return json.Unmarshal(text, m) }

// Client returns a client for one procedure at an address (host:port). A response larger than maxBytes is an error.
func Client[Req, Res any](httpClient connect.HTTPClient, addr, path string, maxBytes int) *connect.Client[Req, Res] {
	return connect.NewClient[Req, Res](httpClient, "http://"+addr+path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBytes))
}

// Handle registers the handler of one procedure; requests larger than maxBytes are rejected. handle is called for each request,
// on a separate goroutine. Its error is sent with the error's connect code, or CodeUnknown if it has none.
func Handle[Req, Res any](mux *http.ServeMux, path string, maxBytes int, handle func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, limitBody(int64(maxBytes), connect.NewUnaryHandler(path, func(ctx context.Context, in *connect.Request[Req]) (*connect.Response[Res], error) {
		out, err := handle(ctx, in.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(out), nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxBytes))))
}
