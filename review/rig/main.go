// Command rig plays the cases of the review that cannot be put as a day of the bench: the project's routers run as processes with
// the command of the deploy file, and clients, servers, the operator and the platform are stand-ins that follow the pages.
//
//	rig CASE FOLDER
//
// It writes FOLDER/record.txt and ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held    = 0
	broken  = 1
	invalid = 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"drain":   playDrain,
	"weights": playWeights,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(invalid)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, folder string, trouble bool) int {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	defer r.close()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return invalid
	}
	defer os.RemoveAll(temporary)
	r.say("case %s, disruption %t", name, trouble)
	f, err := newFleet(root, temporary, r)
	if err == nil {
		defer f.stop()
		var verdict int
		if verdict, err = cases[name](f, trouble); err == nil {
			r.say("verdict: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[verdict])
			return verdict
		}
	}
	r.say("the case could not run: %v", err)
	return invalid
}

// await waits until a condition holds.
func await(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("after %s there is still not: %s", limit, what)
}
