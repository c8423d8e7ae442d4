package subscribe

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/coordination/distribute"
	"petrelhook/internal/coordination/rpc"
)

// A version is sent once: the call that reports it while the next watch is in flight names it as the known revision.
func TestAVersionIsSentOnce(t *testing.T) {
	content := json.RawMessage(`{"a":1}`)
	version := distribute.Version{Service: "s", Revision: 7, Digest: distribute.Digest(content), Content: content}
	watches := make(chan distribute.Watch, 99)
	mux := http.NewServeMux()
	rpc.Handle(mux, distribute.PathWatch, distribute.MaxWatchRequest, func(ctx context.Context, w *distribute.Watch) (*distribute.WatchResponse, error) {
		watches <- *w
		if w.Known < version.Revision {
			return &distribute.WatchResponse{Newer: &version, ReportsReceived: true}, nil
		}
		if w.MaxWait > 0 {
			<-ctx.Done()
		}
		return &distribute.WatchResponse{ReportsReceived: true}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	var c *Client
	stored := 0
	c = New(Options{Addrs: []string{server.Listener.Addr().String()}, Service: "s", Member: "m", Store: func(v distribute.Version) error {
		stored++
		c.Report(distribute.Report{Sidecar: "n0", InForce: v.Revision})
		return nil
	}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	var w distribute.Watch
	for w = range watches {
		if w.MaxWait == 0 {
			break
		}
	}
	if w.Known != version.Revision || len(w.Reports) != 1 || w.Reports[0].InForce != version.Revision {
		t.Errorf("%+v", w)
	}
	cancel()
	peertest.Wait(t, ended)
	if stored != 1 {
		t.Errorf("stored %d times", stored)
	}
}
