package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/release"
)

func releaseCommand() *cobra.Command {
	var dir, program, settings string
	cmd := &cobra.Command{Use: "release", Short: "Releases, each a sidecar's program and its settings, named by a hash of their content"}
	add := &cobra.Command{Use: "add --store FOLDER --program FILE --settings FILE", Args: cobra.NoArgs, Short: "Add a release to a machine's store, and print its name",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if dir == "" || program == "" || settings == "" {
				return errors.New("write --store, --program and --settings")
			}
			r, err := addRelease(dir, program, settings)
			if err != nil {
				return runError{err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), r.ID)
			return nil
		}}
	add.Flags().StringVar(&dir, "store", "", "`FOLDER` of releases, as in the agent's settings")
	add.Flags().StringVar(&program, "program", "", "`FILE` of the sidecar's program")
	add.Flags().StringVar(&settings, "settings", "", "`FILE` of its settings (JSON), without the fields that differ between sidecars")
	cmd.AddCommand(add)
	return cmd
}

// addRelease adds a program and its settings to the store in dir, which it creates if there is none.
func addRelease(dir, program, settings string) (r release.Release, err error) {
	p, err := os.Open(program)
	if err != nil {
		return r, err
	}
	defer func() { _ = p.Close() }() // the file was only read
	s, err := os.Open(settings)
	if err != nil {
		return r, err
	}
	defer func() { _ = s.Close() }()
	store, err := release.NewStore(dir)
	if err != nil {
		return r, err
	}
	return store.Add(p, s)
}
