package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/dghubble/sling"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"petrelhook/internal/router/node"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
)

const (
	memoryLimitFraction = 0.7 // of the machine's memory, beyond which garbage is collected harder
	megabyte            = 1 << 20
	callTimeout         = 3 * time.Second // of an operator's call to a router
	defaultAdmission    = 10 * time.Minute
)

// argument returns the command's only argument.
func argument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", cli.Exit(c.Name+" takes one "+c.ArgsUsage, exitUsage)
	}
	return c.Args().First(), nil
}

// version prints the version of the program.
func version(_ context.Context, c *cli.Command) error {
	build, _ := debug.ReadBuildInfo()
	_, err := fmt.Fprintln(c.Root().Writer, "petrelhook-router", build.Main.Version, build.GoVersion)
	return err
}

// check tells whether a settings file or a deploy file is usable.
func check(_ context.Context, c *cli.Command) error {
	path, err := argument(c)
	if err != nil {
		return err
	}
	if settings.IsDeploy(path) {
		return checkDeploy(c, path)
	}
	s, err := settings.Load(path)
	if err != nil {
		return failure(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s: %s in zone %s: fit\n", path, s.NodeName, s.Zone)
	return nil
}

// checkDeploy is check for a deploy file.
func checkDeploy(c *cli.Command, path string) error {
	d, err := settings.LoadDeploy(path)
	if err != nil {
		return failure(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s: roles %s: fit\n", path, strings.Join(d.RoleNames(), ", "))
	return nil
}

// failure is a command's error, by its text alone: cli.Exit would add the stack traces that errors of cockroachdb/errors have.
func failure(err error) error { return cli.Exit(err.Error(), exitFailure) }

// diskState is what the state command prints; the names are those of its JSON form, in alphabetical order.
type diskState struct {
	Accepted   replication.View
	Entries    int // after the snapshot
	Generation int64
	ID         string // of the disk
	Position   replication.Position
	Promised   replication.Epoch
}

// state prints what the disk of a stopped router holds, without changing it.
func state(_ context.Context, c *cli.Command) error {
	folder, err := argument(c)
	if err != nil {
		return err
	}
	persisted, err := storage.Inspect(folder)
	if err != nil {
		return failure(err)
	}
	register := operatorapi.NewRegister()
	if len(persisted.Snapshot.Data) > 0 {
		if err := register.Restore(persisted.Snapshot.Data); err != nil {
			return failure(err)
		}
	}
	position := persisted.Snapshot.Position
	for _, e := range persisted.Entries {
		register.Apply(e.Data)
		position = e.Position
	}
	return printJSON(c, diskState{
		ID: persisted.ID, Promised: persisted.Hard.Promised, Accepted: persisted.Hard.Accepted, Position: position,
		Entries: len(persisted.Entries), Generation: register.Generation(),
	})
}

// status prints what a running router says of itself, as JSON.
func status(_ context.Context, c *cli.Command) error {
	address, err := argument(c)
	if err != nil {
		return err
	}
	var got node.Status
	answer, err := call(address).Get(node.StatusPath).ReceiveSuccess(&got)
	if err != nil {
		return failure(err)
	}
	_ = answer.Body.Close() // it was read, and closed by sling
	if answer.StatusCode != http.StatusOK {
		return cli.Exit("it answers "+answer.Status, exitFailure)
	}
	return printJSON(c, got)
}

// admit is the admit command: it tells a core member that a server is not to be ejected for some time.
func admit(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit(c.Name+" takes "+c.ArgsUsage, exitUsage)
	}
	query := struct {
		For string `url:"for"`
	}{c.Duration("for").String()}
	path := "/-/servers/" + url.PathEscape(c.Args().Get(1)) + "/admit"
	request, err := call(c.Args().Get(0)).Post(path).QueryStruct(query).Request()
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	answer, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return failure(err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, megabyte))
		return cli.Exit("it answers "+answer.Status+": "+strings.TrimSpace(string(text)), exitFailure)
	}
	return nil
}

// call prepares a call to a router's control address.
func call(address string) *sling.Sling {
	return sling.New().Client(&http.Client{Timeout: callTimeout}).Base("http://" + address)
}

// printJSON prints a value for people and for programs such as jq.
func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// serve runs the router until SIGTERM or an interrupt; on SIGHUP it reads the settings again.
func serve(parent context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return cli.Exit("router takes no arguments", exitUsage)
	}
	s, err := settings.Load(os.Getenv(settings.Variable))
	if err != nil {
		return failure(err)
	}
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * megabyte * float64(s.Limits.MemoryMb)))
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: c.Root().ErrWriter}}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if err := node.New(s, logger).Run(ctx, reload, settings.Load); err != nil {
		return failure(err)
	}
	return nil
}
