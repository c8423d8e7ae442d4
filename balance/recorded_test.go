package balance

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// A snapshot goes to a process that may be of another version. The one that revision cfdfdec wrote is read, and written again
// byte for byte the same.
func TestRecordedSnapshot(t *testing.T) {
	recorded, err := os.ReadFile("testdata/cfdfdec/snapshot.json")
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	decoder := json.NewDecoder(strings.NewReader(string(recorded)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&snapshot); err != nil {
		t.Fatal(err)
	}
	written, err := json.Marshal(snapshot)
	if err != nil || string(written) != string(recorded) {
		t.Errorf("written as\n%s, %v; want\n%s", written, err, recorded)
	}
	first := ServerSnapshot{
		ID: 2, CapacityLog: 3.5, WarmingUp: true, CurrentWeight: 12.5,
		HealthState: HealthState{
			Errors: 4.5, LastErrorAt: 5.5, CooldownUntil: 6.5, AnsweredAt: 7.5, Cooldowns: 8, ProbeFailed: true, ConnectionLost: true,
		},
		SlowStartState: SlowStartState{SlowStartAt: 9.5, Tokens: 10.5, TokensAt: 11.5},
	}
	if snapshot.Servers[0] != first {
		t.Errorf("the first server is read as %+v, want %+v", snapshot.Servers[0], first)
	}
	snapshot.Servers = nil
	want := Snapshot{
		StartedAt: 1.5, Kinds: map[int]float64{0: 24.5, 1: 25.5}, Zones: map[int]float64{0: 26.5, 1: 27.5},
		Classes: []ClassSnapshot{{28.5, 29.5, 30.5, 31.5}, {32.5, 33.5, 34.5, 35.5}}, ShedFraction: 36.5, MeanLatency: 37.5,
		LatencySamples: 38.5, MinLatency: 39.5, CapacitySamples: 40.5, MeanCapacityStep: 41.5, RetryBudget: 42.5, RequestsRecent: 43.5,
		RequestsLatest: 44.5, RequestsAt: 45.5, AnswersRecent: 46.5, AnswersLatest: 47.5, AnswersAt: 48.5,
	}
	if !reflect.DeepEqual(snapshot, want) {
		t.Errorf("read as %+v, want %+v", snapshot, want)
	}
}
