// Package racedetector tells tests whether they were built with the race detector, which takes several times the memory and the processor
// time.
package racedetector
