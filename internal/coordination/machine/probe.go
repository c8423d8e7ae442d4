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

// probeTimeout bounds one request to a process' operators' endpoint.
const probeTimeout = time.Second

// maxProbeBytes bounds what is read of an answer.
const maxProbeBytes = 1 << 20

// probe asks a process whether it is ready, and for its counts, and reports both to its sidecar. It runs beside the owner.
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
		return m.carryOut(managed, managed.ReadinessObserved(m.now(), p, ready))
	})
}

// adminGet reads a path of an operators' endpoint. ok is true for an answer with status 200 that was read to its end.
func (m *Machine) adminGet(ctx context.Context, address, path string) (text []byte, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, false
	}
	response, err := m.adminClient.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }() // it was read
	text, err = io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	return text, err == nil && response.StatusCode == http.StatusOK
}

// reportedDigest is the digest of the settings that a process has read last, by its counts; "": its program does not report one.
func reportedDigest(processCounts []byte) string {
	var document struct {
		File counts.ConfigFile `json:"file"`
	}
	if json.Unmarshal(processCounts, &document) != nil { // the form of earlier programs
		return ""
	}
	return document.File.Digest
}
