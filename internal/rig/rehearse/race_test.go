//go:build race

package rehearse

const raceEnabled = true
