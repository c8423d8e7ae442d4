package rpc

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Dial opens a connection, as net.Dialer.DialContext does. It is a parameter so that coordinators, agents and drivers can run on a network in
// memory. It is called from any goroutine.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// HTTPOptions are what the HTTP clients of coordinators, agents, drivers and operators differ in.
type HTTPOptions struct {
	Dial                Dial          // nil: TCP
	DialTimeout         time.Duration // of one connection attempt; 0: only the call's context bounds it
	CallTimeout         time.Duration // of one call with its response; 0: only the call's context bounds it
	MaxIdleConnsPerHost int           // 0: the default of package http
	DisableKeepAlives   bool          // each call has a connection of its own
}

// NewHTTPClient returns an HTTP client for calls. Its owner calls CloseIdleConnections once it makes no more calls.
func NewHTTPClient(o HTTPOptions) *http.Client {
	return &http.Client{Timeout: o.CallTimeout, Transport: &http.Transport{
		DialContext: o.dial(), MaxIdleConnsPerHost: o.MaxIdleConnsPerHost, DisableKeepAlives: o.DisableKeepAlives, DisableCompression: true,
	}}
}

// dial returns the function that opens connections, bounded by the time-out.
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
