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

// recordedStates is the folder of the states that sidecars of several versions handed over, byte for byte. The newest is that of this version.
// A version that hands over a different state gets its own recording: HANDOVER_RECORD=NAME go test ./cmd/petrelhook -run TestRecordedHandOvers
const recordedStates = "testdata/handover"

// requestHandover takes over from a process of the fleet's sidecar, as its successor does, and returns the state and the link.
func (f *fleet) requestHandover() (state []byte, link *handover.Link) {
	f.t.Helper()
	received, err := handover.NewRendezvous(f.dir, "n0", f.listen).Request(peertest.EventTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	received.Listener.Close()
	return received.State, received.Link
}

// valueAt returns the value at a path in a JSON state, or nil if there is none.
func valueAt(state []byte, path ...string) (v any) {
	if json.Unmarshal(state, &v) != nil {
		return nil
	}
	for _, name := range path {
		m, _ := v.(map[string]any)
		v = m[name]
	}
	return v
}

// typesByPath adds the types of v and of all values below it to types, by path, and returns types. It visits only the first entry of a list.
func typesByPath(v any, path string, types map[string]string) map[string]string {
	types[path] = fmt.Sprintf("%T", v)
	switch v := v.(type) {
	case map[string]any:
		if strings.HasSuffix(path, "IDs") || strings.HasSuffix(path, "Zones") || strings.HasSuffix(path, "Kinds") { // the keys of these maps are data
			break
		}
		for name, field := range v {
			typesByPath(field, path+"."+name, types)
		}
	case []any:
		if len(v) > 0 {
			typesByPath(v[0], path+"[]", types)
		}
	}
	return types
}

// This version continues with the state of each recorded version, including its list and learned values, and hands over everything that each
// of these versions reads.
func TestRecordedHandOvers(t *testing.T) {
	own := handoverAfterRequests(t)
	if name := os.Getenv("HANDOVER_RECORD"); name != "" {
		if err := os.WriteFile(filepath.Join(recordedStates, name+".json"), own, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join(recordedStates, "*.json"))
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

// handoverAfterRequests returns the state that a process of this version hands over after a request of each kind.
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

// checkHandsOverAllOf fails if a recorded state has a value whose path is missing, or has another type, in this version's own state.
func checkHandsOverAllOf(t *testing.T, file string, own, state []byte) {
	t.Helper()
	written := typesByPath(valueAt(own), "", map[string]string{})
	for path, valueType := range typesByPath(valueAt(state), "", map[string]string{}) {
		if written[path] != valueType {
			t.Errorf("%s reads %s (%s), and this version hands over %q", file, path, valueType, written[path])
		}
	}
}

// checkContinuesWith starts a process of this version as the successor of a process that hands over a recorded state. It fails unless the
// state that the successor hands over in turn has the list and the learned values of the recorded one.
func checkContinuesWith(t *testing.T, file string, state []byte) {
	t.Helper()
	f := newFleet(t, peertest.Settings)
	ownDiscovery, recordedDiscovery := valueAt([]byte(f.config), "discovery").(string), valueAt(state, "core", "Source").(string)
	f.config = strings.Replace(f.config, `"discovery":"`+ownDiscovery, `"discovery":"`+recordedDiscovery, 1)
	successor := f.startAfter(state)
	handedOn, link := f.requestHandover()
	for _, path := range [][]string{{"core", "List"}, {"core", "Module", "Classes"}, {"core", "Module", "Quickest"}} {
		if want, got := valueAt(state, path...), valueAt(handedOn, path...); want == nil || !reflect.DeepEqual(want, got) {
			t.Errorf("%s: %v: recorded %v, handed over %v", file, path, want, got)
		}
	}
	link.Close()
	if successor.Signal(syscall.SIGTERM); successor.Wait() != nil || successor.Log.Has("hand-over from the process in service failed") {
		t.Errorf("%s: %s", file, successor.Log)
	}
}

// startAfter starts a process as the successor of the test, which hands over a listener and the state, and then closes the listener and the
// rendezvous.
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
		OnNotSent: func() {}, // OnError follows
		OnError:   func(err error) { f.t.Error(err) },
	}
	if err := predecessor.Start(handover.NewRendezvous(f.dir, "n0", f.listen)); err != nil {
		f.t.Fatal(err)
	}
	successor := f.start()
	listener.Close()
	predecessor.Close()
	return successor
}
