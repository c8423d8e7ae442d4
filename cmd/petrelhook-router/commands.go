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

	"petrelhook/internal/common/clientlimit"
	"petrelhook/internal/router/node"
	"petrelhook/internal/router/operatorapi"
	"petrelhook/internal/router/replication"
	"petrelhook/internal/router/settings"
	"petrelhook/internal/router/storage"
)

const (
	megabyte         = 1 << 20
	callTimeout      = 3 * time.Second // of an operator's call to a router
	defaultAdmission = 10 * time.Minute
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

// check reports whether a settings file or a deploy file is valid.
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
		return exitError(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s: %s in zone %s: fit\n", path, s.NodeName, s.Zone)
	return nil
}

// checkDeploy reports whether a deploy file is valid, and prints its roles.
func checkDeploy(c *cli.Command, path string) error {
	d, err := settings.LoadDeploy(path)
	if err != nil {
		return exitError(err)
	}
	fmt.Fprintf(c.Root().Writer, "%s: roles %s: fit\n", path, strings.Join(d.RoleNames(), ", "))
	return nil
}

// exitError returns the error of a failed command with the text of err. Given err itself, cli.Exit would print the stack
// trace of an error of cockroachdb/errors as well.
func exitError(err error) error { return cli.Exit(err.Error(), exitFailure) }

// diskState is the output of the state command. It is printed as JSON under the names of the fields, which are in
// alphabetical order.
type diskState struct {
	Accepted   replication.View
	Entries    int // number of log entries after the snapshot
	Generation int64
	ID         string // of the disk
	Position   replication.Position
	Promised   replication.Epoch
}

// state prints the state on the disk of a stopped router. It does not change the disk.
func state(_ context.Context, c *cli.Command) error {
	folder, err := argument(c)
	if err != nil {
		return err
	}
	persisted, err := storage.Inspect(folder)
	if err != nil {
		return exitError(err)
	}
	register := operatorapi.NewRegister()
	if len(persisted.Snapshot.Data) > 0 {
		if err := register.Restore(persisted.Snapshot.Data); err != nil {
			return exitError(err)
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

// status prints the status of a running router as JSON.
func status(_ context.Context, c *cli.Command) error {
	address, err := argument(c)
	if err != nil {
		return err
	}
	var routerStatus node.Status
	response, err := controlClient(address).Get(node.StatusPath).ReceiveSuccess(&routerStatus)
	if err != nil {
		return exitError(err)
	}
	_ = response.Body.Close() // sling has read and closed the body
	if response.StatusCode != http.StatusOK {
		return cli.Exit("the router answered "+response.Status, exitFailure)
	}
	return printJSON(c, routerStatus)
}

// admit calls a core member to readmit a server: the server is not ejected for the time of the flag "for".
func admit(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return cli.Exit(c.Name+" takes "+c.ArgsUsage, exitUsage)
	}
	query := struct {
		For string `url:"for"`
	}{c.Duration("for").String()}
	path := "/-/servers/" + url.PathEscape(c.Args().Get(1)) + "/admit"
	request, err := controlClient(c.Args().Get(0)).Post(path).QueryStruct(query).Request()
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return exitError(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, megabyte))
		return cli.Exit("the router answered "+response.Status+": "+strings.TrimSpace(string(text)), exitFailure)
	}
	return nil
}

// controlClient returns an HTTP client for a router's control address.
func controlClient(address string) *sling.Sling {
	return sling.New().Client(&http.Client{Timeout: callTimeout}).Base("http://" + address)
}

// printJSON prints a value as indented JSON, which people and programs such as jq can read.
func printJSON(c *cli.Command, value any) error {
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newLogger returns a logger that writes JSON lines.
func newLogger(output io.Writer) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: output}}
}

// serve runs a router until SIGTERM or SIGINT. At each signal from reload the router reads its settings again.
func serve(parent context.Context, c *cli.Command, reload <-chan os.Signal) error {
	if c.Args().Len() > 0 {
		return cli.Exit("router takes no arguments", exitUsage)
	}
	s, err := settings.Load(os.Getenv(settings.PathVariable))
	if err != nil {
		return exitError(err)
	}
	clientlimit.Limits{MemoryBytes: int64(s.Limits.MemoryMb) * megabyte}.LimitCollector()
	logger := newLogger(c.Root().ErrWriter)
	ctx, stop := signal.NotifyContext(parent, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := node.New(s, logger).Run(ctx, reload, settings.Load); err != nil {
		return exitError(err)
	}
	return nil
}
