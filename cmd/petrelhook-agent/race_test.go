//go:build race

package main

const raceDetectorEnabled = true
