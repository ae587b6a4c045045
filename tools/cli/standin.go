package cli

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/tools/standin/platformd"
	"quetzalknot/tools/standin/targetd"
)

type labPlatform struct {
	Addr string `required:"" help:"IP address and port to listen on."`
}

// Run implements the command.
func (c *labPlatform) Run() error { return serveUntilSignal(c.Addr, platformd.New().Handler()) }

type labTarget struct {
	Addr    string        `required:"" help:"IP address and port to listen on."`
	Name    string        `required:"" help:"Name of the target."`
	Slots   int           `default:"6" help:"Requests that run at once."`
	RunTime time.Duration `name:"run" default:"5ms" help:"Run time of a request that names none."`
	Connect time.Duration `default:"1ms" help:"Cost of a new connection."`
}

// Run implements the command.
func (c *labTarget) Run() error {
	target, err := targetd.Start(targetd.Options{
		Name: c.Name, Addr: c.Addr, Slots: c.Slots, RunTime: c.RunTime, ConnectDelay: c.Connect,
	})
	if err != nil {
		return err
	}
	defer target.Close()
	ctx, stop := signalContext()
	defer stop()
	<-ctx.Done()
	return nil
}

func serveUntilSignal(addr string, handler http.Handler) error {
	ctx, stop := signalContext()
	defer stop()
	server := &http.Server{Addr: addr, Handler: handler}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
