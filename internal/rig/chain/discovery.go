package chain

import (
	"encoding/json"
	"net/http"
	"time"

	"petrelhook/internal/rig/standin"
)

// heartbeat is the interval of empty lines to a subscriber.
const heartbeat = 2 * time.Second

// discovery serves a list that never changes to one sidecar.
type discovery struct {
	*port
	list []byte // in discovery's form, on one line
}

// startDiscovery starts a discovery of these members.
func startDiscovery(members []standin.Member) (*discovery, error) {
	list, err := json.Marshal(standin.Message{Generation: 1, Reset: true, Instances: members})
	if err != nil {
		return nil, err
	}
	d := &discovery{list: list}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.members)
	if d.port, err = serveAt(mux); err != nil {
		return nil, err
	}
	return d, nil
}

// members answers with the complete list, and goes on with empty lines for a subscriber.
func (d *discovery) members(w http.ResponseWriter, r *http.Request) {
	w.Write(append(d.list[:len(d.list):len(d.list)], '\n'))
	if r.URL.Query().Get("watch") == "" {
		return
	}
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			w.Write([]byte("\n"))
		}
	}
}
