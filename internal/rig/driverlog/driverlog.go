// Package driverlog finds the coordinator whose rollout driver is running from the logs of all coordinators, because no response of a
// coordinator tells. It does no I/O.
package driverlog

import (
	"fmt"
	"strings"
)

// The log lines of package coordination/driver, as log/slog writes them.
const (
	began = `msg="rollout driver started" token=`
	ended = `msg="rollout driver stopped"`
)

// Driver returns the index of the log whose coordinator's driver is running, -1 if there is none. If several drivers have not logged their
// end yet, it returns the one with the largest fencing token.
func Driver(logs []string) int {
	highest, index := uint64(0), -1
	for i, log := range logs {
		last := strings.LastIndex(log, began)
		if last < 0 || strings.LastIndex(log, ended) > last {
			continue
		}
		var token uint64
		// without a token in the line it stays 0, which no driver has
		if _, _ = fmt.Sscanf(log[last:], began+"%d", &token); token > highest {
			highest, index = token, i
		}
	}
	return index
}
