package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"petrelhook/internal/common/peertest"
	"petrelhook/internal/sidecar/handover"
)

// recorded has the states that sidecars of some versions handed over, byte for byte; the newest is this version's. A version that hands
// over something else gets a recording of its own: HANDOVER_RECORD=NAME go test ./cmd/petrelhook -run TestRecordedHandOvers
const recorded = "testdata/handover"

// requestHandover has a process of the fleet's sidecar hand over to the test, as to its successor.
func (f *fleet) requestHandover() (state []byte, link *handover.Link) {
	f.t.Helper()
	received, err := handover.NewRendezvous(f.dir, "n0", f.listen).Request(peertest.EventTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	received.Listener.Close()
	return received.State, received.Link
}

// value is the value at a path in a state; nil: there is none.
func value(state []byte, path ...string) (v any) {
	if json.Unmarshal(state, &v) != nil {
		return nil
	}
	for _, name := range path {
		m, _ := v.(map[string]any)
		v = m[name]
	}
	return v
}

// shape adds the types of all values by their path, those of lists by their first entry.
func shape(v any, path string, all map[string]string) map[string]string {
	all[path] = fmt.Sprintf("%T", v)
	switch v := v.(type) {
	case map[string]any:
		if strings.HasSuffix(path, "IDs") || strings.HasSuffix(path, "Zones") || strings.HasSuffix(path, "Kinds") { // maps whose keys are data
			break
		}
		for name, one := range v {
			shape(one, path+"."+name, all)
		}
	case []any:
		if len(v) > 0 {
			shape(v[0], path+"[]", all)
		}
	}
	return all
}

// Versions side by side: this version continues with the state of each recorded one, with its list and what it had learned, and hands over
// everything that each of them reads.
func TestRecordedHandOvers(t *testing.T) {
	own := handoverAfterRequests(t)
	if name := os.Getenv("HANDOVER_RECORD"); name != "" {
		if err := os.WriteFile(filepath.Join(recorded, name+".json"), own, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join(recorded, "*.json"))
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		state, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		checkHandsOverAllOf(t, file, own, state)
		checkContinuesWith(t, file, state)
	}
}

// handoverAfterRequests is the state that a process of this version hands over after a request of each kind.
func handoverAfterRequests(t *testing.T) (state []byte) {
	t.Helper()
	f := newFleet(t, peertest.Settings)
	s := f.start()
	for i := range requestKinds {
		text := strings.Replace(requestKinds[i](fmt.Sprint("x", i)), "\r\n", "\r\nConnection: close\r\n", 1)
		if resp, _ := peertest.SendRequest(t, f.listen, text); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	state, link := f.requestHandover()
	link.Close()
	s.end()
	return state
}

// checkHandsOverAllOf fails where a recorded state has a value, of a path and type, that this version's own doesn't have.
func checkHandsOverAllOf(t *testing.T, file string, own, state []byte) {
	t.Helper()
	written := shape(value(own), "", map[string]string{})
	for path, kind := range shape(value(state), "", map[string]string{}) {
		if written[path] != kind {
			t.Errorf("%s reads %s (%s), and this version hands over %q", file, path, kind, written[path])
		}
	}
}

// checkContinuesWith starts a process of this version as the successor of one that hands over a recorded state. What it hands over in turn has
// the list and the learned values of that state.
func checkContinuesWith(t *testing.T, file string, state []byte) {
	t.Helper()
	f := newFleet(t, peertest.Settings)
	ownDiscovery, recordedDiscovery := value([]byte(f.config), "discovery").(string), value(state, "core", "Source").(string)
	f.config = strings.Replace(f.config, `"discovery":"`+ownDiscovery, `"discovery":"`+recordedDiscovery, 1)
	successor := f.startAfter(state)
	again, link := f.requestHandover()
	for _, path := range [][]string{{"core", "List"}, {"core", "Module", "Classes"}, {"core", "Module", "Quickest"}} {
		if was, is := value(state, path...), value(again, path...); was == nil || !reflect.DeepEqual(was, is) {
			t.Errorf("%s: %v: %v, and then %v", file, path, was, is)
		}
	}
	link.Close()
	if successor.Signal(syscall.SIGTERM); successor.Wait() != nil || successor.Log.Has("nothing is taken over") {
		t.Errorf("%s: %s", file, successor.Log)
	}
}

// startAfter starts a process as the successor of the test, which hands over its listener and a state and then closes both.
func (f *fleet) startAfter(state []byte) *sidecar {
	f.t.Helper()
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		f.t.Fatal(err)
	}
	predecessor := &handover.Server{
		Snapshot: func() (*os.File, []byte, error) {
			file, err := listener.(*net.TCPListener).File()
			return file, state, err
		},
		OnSuccessor: func(link *handover.Link) {
			link.ReadLines(func(line string) {
				if line == "ready" {
					link.Send("heard")
					link.Send("a line of a version to come")
				}
			})
		},
		OnError: func(err error) { f.t.Error(err) },
	}
	if err := predecessor.Start(handover.NewRendezvous(f.dir, "n0", f.listen)); err != nil {
		f.t.Fatal(err)
	}
	successor := f.start()
	listener.Close()
	predecessor.Close()
	return successor
}
