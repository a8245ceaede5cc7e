package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/internal/platform/hosts"
	"curlewsill.org/curlewsill/internal/platform/wire"
	"curlewsill.org/curlewsill/internal/standin/backendsvc"
	"curlewsill.org/curlewsill/internal/standin/logsvc"
	"curlewsill.org/curlewsill/internal/standin/workersvc"
)

// headerTimeout bounds the time in which clients of a stand-in must send a request's
// headers.
const headerTimeout = 10 * time.Second

// standinCmd is the subcommand standin.
type standinCmd struct {
	Log      standinLogCmd      `command:"log" description:"Run the log service and the host list"`
	Workers  standinWorkersCmd  `command:"workers" description:"Run the workers"`
	Backends standinBackendsCmd `command:"backends" description:"Run the backend servers of a service"`
}

// Execute implements flags.Commander.
func (*standinCmd) Execute([]string) error { return nil }

// standinLogCmd is the subcommand standin log.
type standinLogCmd struct {
	env    *env
	Listen string        `long:"listen" default:"127.0.0.1:9000" description:"address to listen on"`
	Keep   int           `long:"keep" default:"100000" description:"number of records to keep"`
	Lag    time.Duration `long:"lag" default:"0s" description:"delay until a new announcement appears in the host list"`
}

// Execute implements flags.Commander.
func (c *standinLogCmd) Execute([]string) error {
	return serve(c.env, c.Listen, logsvc.New(c.Keep, c.Lag))
}

// standinWorkersCmd is the subcommand standin workers.
type standinWorkersCmd struct {
	env    *env
	Listen string `long:"listen" default:"127.0.0.1:9001" description:"address to listen on"`
}

// Execute implements flags.Commander.
func (c *standinWorkersCmd) Execute([]string) error { return serve(c.env, c.Listen, workersvc.New()) }

// standinBackendsCmd is the subcommand standin backends.
type standinBackendsCmd struct {
	env     *env
	Service string        `long:"service" required:"yes" description:"name of the service"`
	Hosts   string        `long:"hosts" default:"http://127.0.0.1:9000" description:"URL of the host list in which to announce the backend servers"`
	Count   int           `long:"count" default:"50" description:"number of backend servers"`
	Slots   int           `long:"slots" default:"8" description:"slots of each backend server"`
	Work    time.Duration `long:"work" default:"20ms" description:"time that each request takes"`
}

// Execute implements flags.Commander.
func (c *standinBackendsCmd) Execute([]string) error {
	s, err := backendsvc.New(c.Count, c.Slots, c.Work)
	if err != nil {
		return err
	}
	defer s.Close()
	a := wire.Announcement{Service: id.Service(c.Service)}
	for _, addr := range s.Addresses() {
		a.Backends = append(a.Backends, wire.Backend{ID: id.Backend(addr)})
	}
	if err := hosts.New(c.Hosts, http.DefaultClient).Announce(c.env.ctx, "service-"+c.Service, a); err != nil {
		return err
	}
	fmt.Fprintf(c.env.stderr, "%d backend servers from %s\n", c.Count, s.Addresses()[0])
	<-c.env.ctx.Done()
	return nil
}

// serve serves until the context of e is done.
func serve(e *env, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stderr, "listening on %s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(e.ctx, func() { _ = s.Close() })
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
