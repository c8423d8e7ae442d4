// Package rpc is how the fleet's processes call one another: connectrpc.com/connect over HTTP/1.1 with plain structs in JSON. There is no
// sign-in and no TLS: whoever reaches an address may ask, so all listen on loopback unless they are told otherwise.
package rpc

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
)

// codec is JSON of plain structs.
type codec struct{}

func (codec) Name() string                       { return "json" }
func (codec) Marshal(m any) ([]byte, error)      { return json.Marshal(m) }
func (codec) Unmarshal(text []byte, m any) error { return json.Unmarshal(text, m) }

// Client makes calls of a kind to one address; an answer has most bytes at most.
func Client[Req, Res any](over connect.HTTPClient, addr, path string, most int) *connect.Client[Req, Res] {
	return connect.NewClient[Req, Res](over, "http://"+addr+path, connect.WithCodec(codec{}), connect.WithReadMaxBytes(most))
}

// Handle answers calls of a kind, of most bytes at most.
func Handle[Req, Res any](mux *http.ServeMux, path string, most int, f func(context.Context, *Req) (*Res, error)) {
	mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, in *connect.Request[Req]) (*connect.Response[Res], error) {
		out, err := f(ctx, in.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(out), nil
	}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(most)))
}
