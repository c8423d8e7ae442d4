package rpc

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Dial opens a connection, as net.Dialer.DialContext does. It is a parameter so that coordinators, agents and drivers can run on
// an in-memory network. It may be called from any goroutine.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// HTTPOptions are the parameters in which the HTTP clients of coordinators, agents, drivers and operators differ.
type HTTPOptions struct {
	Dial                Dial          // nil: TCP
	DialTimeout         time.Duration // bounds one connection attempt; 0: only the call's context does
	CallTimeout         time.Duration // bounds one call with its response; 0: only the call's context does
	MaxIdleConnsPerHost int           // 0: the default of net/http
	DisableKeepAlives   bool          // each call opens its own connection
}

// NewHTTPClient returns an HTTP client for calls. The caller should call its CloseIdleConnections method after the last call.
func NewHTTPClient(o HTTPOptions) *http.Client {
	return &http.Client{Timeout: o.CallTimeout, Transport: &http.Transport{
		DialContext: o.dial(), MaxIdleConnsPerHost: o.MaxIdleConnsPerHost, DisableKeepAlives: o.DisableKeepAlives, DisableCompression: true,
	}}
}

// dial returns the function that opens connections, with attempts bounded by DialTimeout.
func (o HTTPOptions) dial() Dial {
	if o.Dial == nil {
		return (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if o.DialTimeout == 0 {
		return o.Dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, o.DialTimeout)
		defer cancel()
		return o.Dial(ctx, network, addr)
	}
}
