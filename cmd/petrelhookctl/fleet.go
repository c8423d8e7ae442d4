package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"petrelhook/internal/coordination/fleet"
	"petrelhook/internal/coordination/lease"
	"petrelhook/internal/coordination/replica"
)

// statusTimeout bounds the wait for one coordinator's status.
const statusTimeout = 2 * time.Second

func fleetCommand() *cobra.Command {
	a := &coordinatorFlags{}
	cmd := &cobra.Command{Use: "fleet", Short: "Show the coordinators' status, add or remove a coordinator, back up and restore"}
	a.add(cmd)
	cmd.AddCommand(a.fleetStatusCommand(), a.addCoordinatorCommand(), a.removeCoordinatorCommand(), a.backupCommand(), restoreCommand())
	return cmd
}

// coordinatorStatus is one coordinator in the output of fleet status. Other programs read its JSON, so its keys must not change.
type coordinatorStatus struct {
	Addr   string        `json:"addr"`
	Err    string        `json:"err,omitempty"`
	Status *fleet.Status `json:"status,omitempty"` // nil if the coordinator did not answer
}

func (a *coordinatorFlags) fleetStatusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "Show the status of each coordinator; exit code 1: no majority follows a leader", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := a.operator()
			if err != nil {
				return err
			}
			var all []coordinatorStatus
			for _, addr := range a.addrs {
				all = append(all, a.coordinatorStatus(cmd.Context(), o, addr))
			}
			if err := a.print(cmd, all, func(w *tabwriter.Writer) { writeFleetStatus(w, all) }); err != nil {
				return err
			}
			if !majorityFollowsLeader(all) {
				return errNegativeResult
			}
			return nil
		}}
}

// coordinatorStatus asks one coordinator for its status.
func (a *coordinatorFlags) coordinatorStatus(ctx context.Context, o *fleet.Operator, addr string) coordinatorStatus {
	ctx, cancel := context.WithTimeout(ctx, min(a.timeout, statusTimeout))
	defer cancel()
	s, err := o.Status(ctx, addr)
	if err != nil {
		return coordinatorStatus{Addr: addr, Err: err.Error(), Status: s}
	}
	return coordinatorStatus{Addr: addr, Status: s}
}

// writeFleetStatus writes a table with a row for each coordinator.
func writeFleetStatus(w *tabwriter.Writer, all []coordinatorStatus) {
	fmt.Fprintln(w, "ADDRESS\tID\tLEADER\tTERM\tAPPLIED\tLOG\tSESSIONS\tLEASES\tTOKEN\t")
	for _, c := range all {
		if c.Status == nil {
			fmt.Fprintf(w, "%s\t%s\n", c.Addr, c.Err)
			continue
		}
		s := c.Status
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.Addr, s.ID, s.Leader, s.Term, s.Applied, s.Log, s.Sessions, s.Leases, s.Token)
	}
}

// majorityFollowsLeader reports whether a majority of the largest group that a coordinator knows follows the same leader.
func majorityFollowsLeader(all []coordinatorStatus) bool {
	followers := map[uint64]int{} // by the leader's id
	groupSize, mostFollowers := 0, 0
	for _, c := range all {
		if c.Err != "" {
			continue
		}
		groupSize = max(groupSize, len(c.Status.Members))
		if c.Status.Leader != 0 {
			followers[c.Status.Leader]++
			mostFollowers = max(mostFollowers, followers[c.Status.Leader])
		}
	}
	return mostFollowers > groupSize/2
}

// changeMembers sends a membership change to the coordinators and prints the members after it.
func (a *coordinatorFlags) changeMembers(cmd *cobra.Command, request fleet.Request) error {
	response, err := a.call(cmd, request)
	if err != nil {
		return err
	}
	return a.print(cmd, response.Members, func(w *tabwriter.Writer) {
		for _, m := range response.Members {
			role := "voter"
			if m.Learner {
				role = "learner"
			}
			fmt.Fprintf(w, "%d\t%s\t%s\n", m.ID, m.Addr, role)
		}
	})
}

// parseCoordinatorID parses the id of a coordinator. The error for an invalid id uses expected as the description of a valid one.
func parseCoordinatorID(text, expected string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil || id == 0 {
		return 0, fmt.Errorf("%q: write %s", text, expected)
	}
	return id, nil
}

func (a *coordinatorFlags) addCoordinatorCommand() *cobra.Command {
	return &cobra.Command{Use: "add ID HOST:PORT", Short: "Add a coordinator that was started with join: true; it votes once it has caught up with the log", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := parseCoordinatorID(args[0], "an id from 1 on that was never used")
			if err != nil {
				return err
			}
			return a.changeMembers(cmd, fleet.Request{AddMember: &replica.Member{ID: id, Addr: args[1]}})
		}}
}

func (a *coordinatorFlags) removeCoordinatorCommand() *cobra.Command {
	return &cobra.Command{Use: "remove ID", Short: "Remove a coordinator; its process ends, and its id must never be used again", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := parseCoordinatorID(args[0], "the id of a coordinator")
			if err != nil {
				return err
			}
			return a.changeMembers(cmd, fleet.Request{RemoveMember: id})
		}}
}

func (a *coordinatorFlags) backupCommand() *cobra.Command {
	return &cobra.Command{Use: "backup FILE", Short: "Write the current sessions and leases to a new file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := a.call(cmd, fleet.Request{Backup: true})
			if err != nil {
				return err
			}
			if err := writeNewFile(args[0], response.Backup); err != nil {
				return runError{err}
			}
			return nil
		}}
}

// writeNewFile writes a file that must not exist yet, and syncs it. After an error it leaves no partial file.
func writeNewFile(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(path) // the first error is the one to report
	}
	return err
}

func restoreCommand() *cobra.Command {
	var config string
	var above uint64
	cmd := &cobra.Command{Use: "restore FILE --config FILE", Short: "Create a replica of a new group from a back-up; all coordinators of the old group must have ended", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if config == "" {
				return fmt.Errorf("--config: missing: the coordinator's settings")
			}
			c, err := fleet.ReadConfig(config)
			if err == nil {
				err = fleet.Restore(c, args[0], lease.Token(above))
			}
			if err != nil {
				return runError{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: restored; the new group grants nothing for the first %v after its start\n", c.Data, c.MaxTTL)
			return nil
		}}
	cmd.Flags().StringVar(&config, "config", "", "`FILE` of the coordinator's settings (YAML)")
	cmd.Flags().Uint64Var(&above, "above", 0, "the largest `TOKEN` known to have been granted after the back-up")
	return cmd
}
