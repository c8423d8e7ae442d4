//go:build race

package arrival

const raceEnabled = true
