// Package driverlog finds the coordinator that drives rolling changes from the logs of all coordinators: the driver's status is in no
// response. It is pure.
package driverlog

import (
	"fmt"
	"strings"
)

// The log lines of package coordination/driver, as log/slog writes them.
const (
	began = "msg=drives token="
	ended = `msg="drives no more"`
)

// Driver is the index of the log whose coordinator drives, -1 if none does. Of several that have not noticed their end yet it is the one
// with the largest fencing token.
func Driver(logs []string) int {
	highest, index := uint64(0), -1
	for i, log := range logs {
		last := strings.LastIndex(log, began)
		if last < 0 || strings.LastIndex(log, ended) > last {
			continue
		}
		var token uint64
		// without a token it stays 0, which is no token
		if _, _ = fmt.Sscanf(log[last:], began+"%d", &token); token > highest {
			highest, index = token, i
		}
	}
	return index
}
