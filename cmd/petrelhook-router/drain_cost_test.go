package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"petrelhook/internal/common/peertest"
)

const (
	measuredServers = 6700 // servers that are known while the others end
	measuredEnds    = 1200 // servers that end
)

// TestMeasureDrains measures how many deregistrations a core of three acknowledges, how long each takes, and what a core
// member writes for one. For a disk that syncs, PETRELHOOK_TEST_FOLDER names a folder on it.
func TestMeasureDrains(t *testing.T) {
	peertest.SkipUnlessMeasuring(t)
	f := newFleet(t, 3, 0)
	require.Equal(t, http.StatusOK, f.sendOrder("/-/config/replace", 0, firstConfiguration))
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 200
	f.client.Transport = transport
	for _, m := range f.machines {
		f.waitReady(m)
	}
	f.forEach(measuredServers, 50, func(i int) {
		f.callInstance(i, "heartbeat", fmt.Sprintf(`{"Service":"s","Address":"10.1.%d.%d:80","Slots":4,"State":"ready","Sequence":1}`, i/250, i%250))
	})
	for _, callers := range []int{1, 20, 200} {
		before := f.diskBytes()
		first := measuredServers + callers*measuredEnds
		var mutex sync.Mutex
		var took []time.Duration
		failed := 0
		began := time.Now()
		f.forEach(measuredEnds, callers, func(i int) {
			sent := time.Now()
			status := f.callInstance(first+i, "deregister", `{"Service":"s","Address":"10.2.0.1:80","Sequence":2}`)
			mutex.Lock()
			defer mutex.Unlock()
			took = append(took, time.Since(sent))
			if status != http.StatusOK {
				failed++
			}
		})
		elapsed := time.Since(began)
		slices.Sort(took)
		t.Logf("%d callers: %.0f acknowledgements a second, p50 %.1f ms, p99 %.1f ms, %d failed, tombstones grew by %.0f bytes for each",
			callers, measuredEnds/elapsed.Seconds(), took[len(took)/2].Seconds()*1000, took[len(took)*99/100].Seconds()*1000, failed,
			float64(f.diskBytes()-before)/measuredEnds)
	}
}

// callInstance makes a call of the server with a number to one of the machines.
func (f *fleet) callInstance(number int, call, body string) (status int) {
	m := f.machines[number%len(f.machines)]
	status, _ = f.call(http.MethodPost, fmt.Sprintf("http://%s/-/instances/i-%d/%s", f.address(m.ip, controlPort), number, call), body)
	return status
}

// forEach calls action with the numbers 0 to count-1, from a number of callers at once.
func (f *fleet) forEach(count, callers int, action func(int)) {
	numbers := make(chan int)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for i := range numbers {
				action(i)
			}
		})
	}
	for i := range count {
		numbers <- i
	}
	close(numbers)
	group.Wait()
}

// diskBytes returns the size of the first machine's file of tombstones, 0 if there is none.
func (f *fleet) diskBytes() int64 {
	info, err := os.Stat(filepath.Join(f.machines[0].dataDir(), "tombstones.log"))
	if err != nil {
		return 0
	}
	return info.Size()
}
