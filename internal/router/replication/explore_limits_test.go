//go:build !race

package replication

// How many states each exploration of a usual run visits at the most.
const (
	sampledStates = 20_000
	allStates     = 1 << 30

	largerWorstDays = 1_000
)
