package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The seeds of TestDrainSoak. By hand: go test ./cmd/petrelhook-router -run TestDrainSoak -soak.first 1 -soak.count 50 -parallel 8
var (
	soakFirst = flag.Uint64("soak.first", 1, "the first seed of TestDrainSoak")
	soakCount = flag.Uint64("soak.count", 4, "the number of seeds of TestDrainSoak")
	// soakOthers makes a fleet as large as the machine bears.
	soakOthers = flag.Int("soak.others", 0, "the number of routers outside of the core; 0: drawn by the seed")
)

// Servers end in both ways, some right after a successor started, heartbeats arrive late, one or all core processes are killed,
// terminated and stopped in overlapping series, and one core member loses its disk in some runs, while clients keep using open connections and the operator changes the configuration:
// no request of a machine in touch reaches a server whose end was acknowledged longer than DrainMs ago, and no acknowledged
// configuration is lost.
func TestDrainSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := newSoakRun(t, seed, fmt.Sprintf("127.10.%d", seed%250))
			r.play()
			r.check(seed)
		})
	}
}

// sendRequests plays a client, which uses one connection to a machine until it is closed.
func (r *soakRun) sendRequests(ctx context.Context, machine, client int) {
	own := &http.Client{Timeout: 2 * serverCallTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer own.CloseIdleConnections()
	url := "http://" + r.address(r.machines[machine].ip, frontPort) + "/x/1"
	for number := 0; wait(ctx, requestInterval); number++ {
		id := fmt.Sprintf("%d-%d-%d", machine, client, number)
		request := clientRequest{machine: r.machines[machine].ip, sentAt: time.Now()}
		r.noteRequest(id, request)
		request.served = sendRequest(ctx, own, url, id)
		r.noteRequest(id, request)
	}
}

// noteRequest records a request.
func (r *soakRun) noteRequest(id string, request clientRequest) {
	r.record.mutex.Lock()
	defer r.record.mutex.Unlock()
	r.record.requests[id] = request
}

// sendRequest sends a client's request and reports whether it was answered with success.
func sendRequest(ctx context.Context, client *http.Client, url, id string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return false
	}
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Request-Deadline", "2000")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// check judges the run. It also checks that there was something to judge: most requests were served, and the ends were
// acknowledged.
func (r *soakRun) check(seed uint64) {
	r.t.Helper()
	runs := map[string][]serverRun{}
	for _, s := range r.servers {
		runs[s.id] = s.taken()
	}
	served := 0
	for _, request := range r.record.requests {
		if request.served {
			served++
		}
	}
	r.t.Logf("seed %d: %d machines, %d requests, %d served, %d of %d ends acknowledged, %d updates acknowledged, %d events of processes, %d lost disks", seed,
		len(r.machines), len(r.record.requests), served, len(r.record.ends), len(r.schedule.ends), r.record.generation-firstGeneration,
		len(r.record.processes), r.record.count(lostItsDisk))
	require.Greater(r.t, served, len(r.record.requests)/2)
	require.Len(r.t, r.record.ends, len(r.schedule.ends))
	r.checkConfiguration()
	for _, m := range r.machines {
		r.checkProcess(m)
	}
	broken := r.record.judge(runs)
	for _, v := range broken[:min(5, len(broken))] {
		r.t.Error(v)
	}
	if r.t.Failed() {
		from := r.record.ends[0].at
		if len(broken) > 0 {
			from = broken[0].end.at
		}
		r.logProcesses(from)
		r.t.Errorf("%d requests break the rule DRAIN; play it again with -soak.first %d -soak.count 1", len(broken), seed)
	}
}

// logProcesses logs the events of processes by their distance from a time.
func (r *soakRun) logProcesses(from time.Time) {
	slices.SortFunc(r.record.processes, func(a, b processEvent) int { return a.at.Compare(b.at) })
	for _, e := range r.record.processes {
		r.t.Logf("%+.3f s: %s: %s", e.at.Sub(from).Seconds(), e.machine, e.kind)
	}
}
