package contend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/monotonic"
	"petrelhook/internal/coordination/share"
)

// spend is a process that tries to use a limit's units all the time, and says when it was allowed to: just before it asked itself. Its
// arguments: its name, its pause between tries, the limit as JSON, and the coordinators by commas.
func spend(name, pause, limit string, addrs []string) {
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); os.Exit(0) }()
	every, err := time.ParseDuration(pause)
	var l share.Limit
	if err == nil {
		err = json.Unmarshal([]byte(limit), &l)
	}
	if err != nil {
		panic(err)
	}
	s := fleet.NewLimitClient(&fleet.Caller{Addrs: addrs, HTTPClient: &http.Client{}, Timeout: l.Period / 2, RetryInterval: l.Period / 20}, l, name, 1, monotonic.Now)
	go s.Run(context.Background())
	for range time.Tick(every) {
		if at := monotonic.Now(); s.Allow() {
			fmt.Printf("%d\n", at)
		}
	}
}

// Uses are the moments that a spender has said.
func Uses(text string) (all []lease.Instant) {
	for line := range strings.Lines(text) {
		var at lease.Instant
		if n, _ := fmt.Sscan(line, &at); n == 1 {
			all = append(all, at)
		}
	}
	return all
}
