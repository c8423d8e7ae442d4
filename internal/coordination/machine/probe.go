package machine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"petrelhook/internal/coordination/agent"
	"petrelhook/internal/sidecar/counts"
)

// probeTimeout bounds one request to the operators' endpoint of a process.
const probeTimeout = time.Second

// maxProbeBytes bounds the bytes that are read of a response.
const maxProbeBytes = 1 << 20

// probe queries the readiness and the counts of a process, and posts both to its sidecar. It runs on its own goroutine.
func (m *Machine) probe(ctx context.Context, managed *managedSidecar, p agent.Process) {
	_, ready := m.adminGet(ctx, p.AdminAddress, "/api/ready")
	processCounts, counted := m.adminGet(ctx, p.AdminAddress, "/api/counts")
	m.post(func() error {
		delete(managed.probing, p)
		if !managed.runs(p) {
			return nil
		}
		if counted && json.Valid(processCounts) {
			managed.counts[p] = processCounts
			managed.DigestReported(p, reportedDigest(processCounts))
		}
		return m.execute(managed, managed.ReadinessObserved(m.now(), p, ready))
	})
}

// adminGet reads a path of an operators' endpoint. ok is true for a response with status 200 that was read without an error, up
// to maxProbeBytes.
func (m *Machine) adminGet(ctx context.Context, address, path string) (text []byte, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, false
	}
	response, err := m.adminClient.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	text, err = io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	return text, err == nil && response.StatusCode == http.StatusOK
}

// reportedDigest returns the digest, from the counts of a process, of the settings that the process read last. It returns "" if
// the program does not report one.
func reportedDigest(processCounts []byte) string {
	var document struct {
		File counts.ConfigFile `json:"file"`
	}
	if json.Unmarshal(processCounts, &document) != nil { // counts of earlier programs have another form
		return ""
	}
	return document.File.Digest
}
