//go:build race

package replication

// Limits of an exploration in a default run: lower with the race detector, with which a run takes many times as long.
const (
	sampledStates = 2_000
	allStates     = 2_000

	largerWorstDays = 40
)
