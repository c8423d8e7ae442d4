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

// runSpender tries to use units of a limit at an interval, and prints the time just before each attempt that was allowed, until its
// standard input ends.
func runSpender(name, interval, limit string, addrs []string) {
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); os.Exit(0) }()
	every, err := time.ParseDuration(interval)
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

// ParseUses reads the times that a spender has printed.
func ParseUses(text string) (all []lease.Instant) {
	for line := range strings.Lines(text) {
		var at lease.Instant
		if n, _ := fmt.Sscan(line, &at); n == 1 {
			all = append(all, at)
		}
	}
	return all
}
