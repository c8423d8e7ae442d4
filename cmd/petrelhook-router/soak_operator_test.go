package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
)

const (
	firstGeneration = 3                      // of streamConfiguration
	updateInterval  = 400 * time.Millisecond // from an acknowledgement to the operator's next update
)

// sendUpdates plays the operator of a soak: it adds one route after the other until the context ends.
func (r *soakRun) sendUpdates(ctx context.Context) {
	r.record.generation = firstGeneration
	for wait(ctx, updateInterval) {
		base := r.record.generation
		update := fmt.Sprintf(`{"Generation":%d,"Upsert":{"Routes":[{"Name":"added-%d","Host":"a.example","PathPrefix":"/added-%d/",`+
			`"RouteType":"safe","TimeoutMs":2000,"Service":"s"}]}}`, base+1, base, base)
		if !r.sendUpdate(ctx, base, update) {
			return
		}
		r.record.generation = base + 1
		r.acknowledged.Store(int64(base + 1))
	}
}

// readInterval is the time between two reads of the configuration by one operator.
const readInterval = 20 * time.Millisecond

// readConfigurations plays an operator who reads the configuration at one machine after the other until the context ends: no read returns an
// older one than a read or an acknowledgement before it.
func (r *soakRun) readConfigurations(ctx context.Context) {
	newest := int64(firstGeneration)
	for i := 0; wait(ctx, readInterval); i++ {
		newest = max(newest, r.acknowledged.Load())
		m := r.machines[i%len(r.machines)]
		status, text := r.call(http.MethodGet, "http://"+r.address(m.ip, controlPort)+"/-/config/read", "")
		var read struct{ Generation int64 }
		if status != http.StatusOK || json.Unmarshal([]byte(text), &read) != nil {
			continue
		}
		if read.Generation < newest {
			r.t.Errorf("CONFIG: %s reads generation %d after %d", m.ip, read.Generation, newest)
		}
		newest = max(newest, read.Generation)
	}
}

// sendUpdate sends an update to one machine after the other until it is acknowledged. A call without a clear answer is sent again
// unchanged. It fails the test if the update is rejected: it is valid, and no other operator changes the configuration.
func (r *soakRun) sendUpdate(ctx context.Context, base int, update string) (acknowledged bool) {
	for i := 0; ctx.Err() == nil; i++ {
		m := r.machines[i%len(r.machines)]
		status, text := r.call(http.MethodPost, "http://"+r.address(m.ip, controlPort)+"/-/config/update", update, "X-Base-Version", strconv.Itoa(base))
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			r.t.Errorf("CONFIG: %s rejected an update of generation %d with %d %s", m.ip, base, status, text)
			return false
		}
		wait(ctx, 20*time.Millisecond)
	}
	return false
}

// checkConfiguration checks that the last acknowledged configuration, or the one of the update that had no clear answer at the end of
// the run, is read back from each machine.
func (r *soakRun) checkConfiguration() {
	r.t.Helper()
	require.Greater(r.t, r.record.generation, firstGeneration, "updates were acknowledged")
	for _, m := range r.machines {
		var read struct {
			Generation int
			Routes     []struct{ Name string }
		}
		peertest.Eventually(r.t, m.ip+" answers a read", func() bool {
			status, text := r.call(http.MethodGet, "http://"+r.address(m.ip, controlPort)+"/-/config/read", "")
			return status == http.StatusOK && json.Unmarshal([]byte(text), &read) == nil
		})
		if last := r.record.generation; read.Generation != last && read.Generation != last+1 {
			r.t.Errorf("CONFIG: generation %d was acknowledged, and %s reads %d", last, m.ip, read.Generation)
		}
		if added := read.Generation - firstGeneration; len(read.Routes) != strings.Count(r.configuration, "PathPrefix")+added {
			r.t.Errorf("CONFIG: %s reads %d routes, and %d were added to the first ones", m.ip, len(read.Routes), added)
		}
	}
}
