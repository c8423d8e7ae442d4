package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/rig/streams"
)

// The seeds of TestStreamSoak. By hand: go test ./cmd/petrelhook-router -run TestStreamSoak -streamsoak.first 1 -streamsoak.count 50 -parallel 4
var (
	streamSoakFirst = flag.Uint64("streamsoak.first", 1, "the first seed of TestStreamSoak")
	streamSoakCount = flag.Uint64("streamsoak.count", 3, "the number of seeds of TestStreamSoak")
)

const (
	streamReaders        = 6 // of each client of a soak, which has clientsPerMachine
	streamDeadline       = 3 * time.Second
	pauseBetweenStreams  = 5 * time.Millisecond
	streamsOfEachMachine = 50 // that are complete, at least
)

const streamSoakConfiguration = `{"Generation":3,"Routes":[
{"Name":"r1","Host":"a.example","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":2000,"Service":"s","MaxAttempts":2},
{"Name":"continued","Host":"a.example","PathPrefix":"/continued/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":200,"gap_aim_ms":80,"Service":"s",
"MaxAttempts":3,"StreamResume":true},
{"Name":"once","Host":"a.example","PathPrefix":"/once/","RouteType":"streaming","TimeoutMs":3000,"TargetLatencyMs":200,"gap_aim_ms":80,"Service":"s","MaxAttempts":3}],
"Services":[{"Name":"s","MaxConnections":400}]}`

// streamSoak is a run whose clients read streams.
type streamSoak struct {
	*soakRun
	seed uint64

	mutex   sync.Mutex
	results map[streams.Result]int
	broken  []error
}

// Clients read streams beside everything that TestDrainSoak does to the fleet, while servers crash, break off, stall, begin anew, leave out
// or repeat events, and send more than was asked for. No stream is joined from parts that do not continue each other, has an event twice or
// leaves one out, and none looks complete that is not.
func TestStreamSoak(t *testing.T) {
	for seed := *streamSoakFirst; seed < *streamSoakFirst+*streamSoakCount; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := &streamSoak{soakRun: newSoakRun(t, seed, fmt.Sprintf("127.12.%d", seed%250)), seed: seed, results: map[streams.Result]int{}}
			s.configuration, s.traffic = streamSoakConfiguration, s.readStreams
			crashes := drawCrashes(seed, len(s.machines))
			s.crashes = crashes[:]
			s.handler = func(id string) http.Handler { return streams.NewServer(id, seed) }
			s.play()
			s.check()
		})
	}
}

// streamServerRole is the role of a process that is a server of streams, with its ID, its address and the seed of its behaviour as arguments.
const streamServerRole = "stream-server"

// serveStreams runs a process in streamServerRole. It returns only with an error.
func serveStreams(args []string) error {
	seed, err := strconv.ParseUint(args[2], 10, 64)
	if err != nil {
		return err
	}
	return http.ListenAndServe(args[1], streams.NewServer(args[0], seed)) //nolint:gosec // the callers are the routers of this test
}

// readStreams plays the readers of a client.
func (s *streamSoak) readStreams(ctx context.Context, machine, client int) {
	var readers sync.WaitGroup
	for i := range streamReaders {
		readers.Go(func() {
			random := rand.New(rand.NewPCG(s.seed, uint64(machine<<16|client<<8|i)))
			c := &streams.Client{Name: fmt.Sprintf("%d.%d.%d", machine, client, i), Random: random, Deadline: streamDeadline,
				Routes:  []streams.Route{{Host: "a.example", Prefix: "/continued/", MayContinue: true}, {Host: "a.example", Prefix: "/once/"}},
				Address: func() string { return s.address(s.machines[random.IntN(len(s.machines))].ip, frontPort) }}
			for wait(ctx, pauseBetweenStreams) {
				s.note(c.ReadStream(ctx))
			}
		})
	}
	readers.Wait()
}

// note records what became of a stream.
func (s *streamSoak) note(result streams.Result, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.results[result]++
	if err != nil {
		s.broken = append(s.broken, err)
	}
}

// check judges the run.
func (s *streamSoak) check() {
	s.t.Helper()
	var misordered, migrated int64
	for _, m := range s.machines {
		s.checkProcess(m)
		status := s.status(m)
		misordered, migrated = misordered+status.Misordered, migrated+status.Migrated
	}
	s.t.Logf("seed %d: %d machines, streams: %d complete, %d broken off, %d rejected, %d left by their clients; since their last starts routers have "+
		"stopped %d streams that went out of order, and migrated %d", s.seed, len(s.machines), s.results[streams.Complete], s.results[streams.Broken],
		s.results[streams.Rejected], s.results[streams.Left], misordered, migrated)
	for _, err := range s.broken[:min(5, len(s.broken))] {
		s.t.Error(err)
	}
	require.Empty(s.t, len(s.broken), "streams break the rule ORDER; play it again with -streamsoak.first %d -streamsoak.count 1", s.seed)
	require.Greater(s.t, s.results[streams.Complete], streamsOfEachMachine*len(s.machines))
	s.checkConfiguration()
}
