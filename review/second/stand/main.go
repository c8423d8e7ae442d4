package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by their names.
var cases = map[string]func(r *record, root string, trouble bool) int{
	"core":   deadCore,
	"deaf":   deafRouter,
	"late":   lateHeartbeat,
	"upload": hotUploads,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER")
		os.Exit(exitFailed)
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	r := &record{file: file, start: time.Now()}
	time.AfterFunc(116*time.Second, func() { r.logf("out of time"); os.Exit(exitFailed) })
	code := cases[os.Args[1]](r, os.Args[2], os.Getenv("TROUBLE") != "0")
	r.logf("exit %d", code)
	os.Exit(code)
}
