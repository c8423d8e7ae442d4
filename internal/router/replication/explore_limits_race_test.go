//go:build race

package replication

// How many states each exploration of a usual run visits at the most: fewer with the race detector, which is many times
// as slow.
const (
	sampledStates = 2_000
	allStates     = 2_000

	largerWorstDays = 40
)
