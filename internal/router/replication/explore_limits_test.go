//go:build !race

package replication

// Limits of an exploration in a default run.
const (
	sampledStates = 20_000
	allStates     = 1 << 30

	largerWorstDays = 1_000
)
