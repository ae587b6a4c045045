// Package daemon implements the command line of quetzald. It is separate from package main
// so that scripted tests can run it.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"quetzalknot"
	"quetzalknot/entry"
	"quetzalknot/platform"
	"quetzalknot/platform/adapter"
	"quetzalknot/platform/httpclient"
	"quetzalknot/platform/memory"
	"quetzalknot/process/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

type cli struct {
	Settings string           `arg:"" optional:"" type:"path" help:"TOML settings file. Without it, this is an entry host on the users' platform, whose settings file the environment names."`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Runs one entry host: answers look-ups and forwards requests to targets.

Log lines go to standard error as JSON; docs/EVENTS.md lists the events.

Exit codes: 0 stopped by a signal or settings valid, 1 failure, 2 invalid settings or usage.`

// Main runs the daemon and returns its exit code.
func Main() int {
	var c cli
	parser := kong.Must(&c, kong.Name("quetzald"), kong.Description(description), kong.Vars{"version": quetzalknot.Version})
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "quetzald: %s (see quetzald --help)\n", err)
		return exitSettings
	}
	if c.Settings == "" {
		return mainEntry(os.Getenv(adapter.SettingsVariable), c.Check)
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if c.Check {
		fmt.Printf("%s is well formed\n", c.Settings)
		return exitOK
	}
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "quetzald:", err)
		return exitFailure
	}
	return exitOK
}

// run runs an entry host until a signal stops it. A second signal aborts the requests in flight.
func run(s *settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	host := quetzalknot.New(s, quetzalknot.Options{Platform: newPlatform(s), Logs: os.Stderr})
	if err := host.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	stop()
	return host.Stop(stopCtx)
}

// mainEntry runs an entry host on the users' platform, or only checks its settings, and
// returns the exit code.
func mainEntry(path string, check bool) int {
	if path == "" {
		fmt.Fprintln(os.Stderr, "quetzald: no settings file given (see quetzald --help)")
		return exitSettings
	}
	s, err := entry.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Printf("%s is well formed\n", path)
		return exitOK
	}
	if err := runEntry(s, path); err != nil {
		fmt.Fprintln(os.Stderr, "quetzald:", err)
		return exitFailure
	}
	return exitOK
}

// runEntry runs an entry host on the users' platform until SIGTERM or SIGINT stops it. SIGHUP
// reloads the settings. The signals have channels of their own, and reloads a goroutine, so
// that a stop waits for neither.
func runEntry(s *entry.Settings, path string) error {
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	host := entry.New(s, path, os.Stdout)
	if err := host.Start(context.Background()); err != nil {
		return err
	}
	go func() {
		for range reload {
			host.Reload()
		}
	}()
	<-stop
	host.Stop(context.Background())
	return nil
}

func newPlatform(s *settings.Settings) platform.Platform {
	if s.Platform.URL == "" {
		return memory.New()
	}
	return httpclient.New(s.Platform.URL)
}
