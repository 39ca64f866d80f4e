// Package standin provides the command that runs stand-ins for outside systems,
// the platform's services and the upstreams, as small processes. It is for tests
// and the demo only. Each stand-in has fault switches, which POST /fault changes.
// The command also includes the load generator of package callers.
package standin

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/tamarackcleat/tamarackcleat/port"
	"github.com/tamarackcleat/tamarackcleat/standin/callers"
	"github.com/tamarackcleat/tamarackcleat/standin/engine"
	"github.com/tamarackcleat/tamarackcleat/standin/logservice"
	"github.com/tamarackcleat/tamarackcleat/standin/plainservice"
	"github.com/tamarackcleat/tamarackcleat/standin/vmlist"
	"github.com/tamarackcleat/tamarackcleat/standin/weightstore"
)

// Command returns the command with one subcommand for each stand-in and one for
// the load generator.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "stand in for the platform and the upstreams, in tests and the demo",
		Commands: []*cli.Command{
			logCommand(), vmsCommand(), weightsCommand(), engineCommand(), plainCommand(), callers.Command(),
		},
	}
}

// Flags that several subcommands share.
var (
	listenFlag = &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on", Value: "127.0.0.1:0"}
	idFlag     = &cli.StringFlag{Name: "id", Usage: "`ID` of the VM", Required: true}
	zoneFlag   = &cli.StringFlag{Name: "zone", Usage: "availability `ZONE`", Value: "a"}
	listFlag   = &cli.StringFlag{Name: "list", Usage: "`URL` of the VM list to register with"}
)

func logCommand() *cli.Command {
	defaults := logservice.DefaultSettings()
	return &cli.Command{
		Name:  "log",
		Usage: "append-only log service",
		Flags: []cli.Flag{
			listenFlag,
			&cli.DurationFlag{Name: "retention", Usage: "how long an entry is kept", Value: defaults.Retention},
			&cli.FloatFlag{Name: "appends-per-second", Usage: "rate limit of appends", Value: defaults.AppendsPerSecond},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := defaults
			s.Retention = c.Duration("retention")
			s.AppendsPerSecond = c.Float("appends-per-second")
			return serve(ctx, c.String("listen"), logservice.New(s))
		},
	}
}

func vmsCommand() *cli.Command {
	defaults := vmlist.DefaultSettings()
	return &cli.Command{
		Name:  "vms",
		Usage: "lagging VM list",
		Flags: []cli.Flag{
			listenFlag,
			&cli.DurationFlag{Name: "lag", Usage: "time until a change is visible", Value: defaults.Lag},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := defaults
			s.Lag = c.Duration("lag")
			return serve(ctx, c.String("listen"), vmlist.New(s))
		},
	}
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "rate-limited weight store",
		Flags: []cli.Flag{
			listenFlag,
			&cli.StringSliceFlag{Name: "model", Usage: "`NAME=VMS:SIZE` of a model, such as draft-70b=2:140GB", Required: true},
			&cli.StringFlag{Name: "rate", Usage: "bytes a second over all readers", Value: "100GB"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			list, err := parseModelList(c.StringSlice("model"), c.String("rate"))
			if err != nil {
				return err
			}
			s := weightstore.Settings{ModelList: list, Clock: time.Now}
			return serve(ctx, c.String("listen"), weightstore.New(s))
		},
	}
}

// parseModelList parses the flags of the weight store: models as
// NAME=VMS:SIZE, where VMS is the number of VMs of a replica, and the rate in
// bytes a second. Sizes may have units, such as 140GB.
func parseModelList(models []string, rate string) (port.ModelList, error) {
	perSecond, err := humanize.ParseBytes(rate)
	if err != nil {
		return port.ModelList{}, errors.Wrapf(err, "rate %q", rate)
	}
	list := port.ModelList{BytesPerSecond: int64(perSecond)}
	for _, text := range models {
		name, rest, _ := strings.Cut(text, "=")
		vms, size, ok := strings.Cut(rest, ":")
		count, countErr := strconv.Atoi(vms)
		bytes, sizeErr := humanize.ParseBytes(size)
		if !ok || countErr != nil || sizeErr != nil {
			return list, errors.Newf("model %q is not NAME=VMS:SIZE", text)
		}
		list.Models = append(list.Models, port.Model{Name: name, VMsPerReplica: count, WeightBytes: int64(bytes)})
	}
	return list, nil
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine VM; with --count, many of them in one process",
		Flags: []cli.Flag{
			listenFlag, idFlag, zoneFlag, listFlag,
			&cli.StringFlag{Name: "domain", Usage: "fabric `DOMAIN`", Value: "d1"},
			&cli.StringFlag{Name: "weights", Usage: "`URL` of the weight store"},
			&cli.IntFlag{Name: "count", Usage: "number of VMs, on consecutive ports", Value: 1},
			&cli.IntFlag{Name: "domain-size", Usage: "VMs of one fabric domain, with --count", Value: 32},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "obey orders with an old fencing number"},
			&cli.DurationFlag{Name: "first-token", Usage: "time to the first token", Value: 30 * time.Millisecond},
			&cli.DurationFlag{Name: "between-tokens", Usage: "time between tokens", Value: 10 * time.Millisecond},
			&cli.DurationFlag{Name: "member-check", Usage: "time between rank 0's checks of its members; 0 for none"},
			&cli.IntFlag{Name: "slots", Usage: "size of the continuous batch", Value: 8},
		},
		Action: runEngines,
	}
}

// runEngines runs as many engine VMs as the flag --count says, on consecutive
// ports, until the context ends or one of them fails.
func runEngines(ctx context.Context, c *cli.Command) error {
	host, portText, err := net.SplitHostPort(c.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	firstPort, err := strconv.Atoi(portText)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	count := c.Int("count")
	group, ctx := errgroup.WithContext(ctx)
	for i := range count {
		vm := port.VM{
			ID:            port.VMID(c.String("id")),
			Kind:          port.KindEngine,
			Address:       net.JoinHostPort(host, portAfter(firstPort, i)),
			Zone:          c.String("zone"),
			Domain:        c.String("domain"),
			Accelerators:  8,
			ChecksFencing: !c.Bool("ignore-fencing"),
		}
		if count > 1 {
			vm.ID = port.VMID(fmt.Sprintf("%s-%d", vm.ID, i))
			vm.Domain = fmt.Sprintf("%s-%d", vm.Domain, i/c.Int("domain-size"))
		}
		group.Go(func() error { return runEngine(ctx, c, vm, count == 1) })
	}
	return group.Wait()
}

// portAfter returns the port of the nth VM, counted from 0. A first port of 0
// stands for a port that the operating system chooses for each VM.
func portAfter(firstPort, n int) string {
	if firstPort == 0 {
		return "0"
	}
	return strconv.Itoa(firstPort + n)
}

// runEngine registers an engine VM and serves it. If ownProcess is set, no other
// VM runs in this process and a crash of the VM ends the process.
func runEngine(ctx context.Context, c *cli.Command, vm port.VM, ownProcess bool) error {
	s := engine.DefaultSettings(vm.ID)
	s.ChecksFencing = vm.ChecksFencing
	s.WeightStore = c.String("weights")
	s.FirstTokenTime = c.Duration("first-token")
	s.TokenInterval = c.Duration("between-tokens")
	s.Slots = c.Int("slots")
	s.MemberCheckInterval = c.Duration("member-check")
	if ownProcess {
		s.OnCrash = func() { os.Exit(1) }
	}
	return runVM(ctx, c.String("list"), vm, engine.New(s))
}

// runVM listens on the VM's address, registers the VM with the VM list under the
// address on which it listens, and serves it until the context ends and the VM
// has left.
func runVM(ctx context.Context, list string, vm port.VM, h leavingHandler) error {
	l, err := listen(vm.Address)
	if err != nil {
		return err
	}
	vm.Address = l.Addr().String()
	if err := register(ctx, list, vm); err != nil {
		return err
	}
	return serveVM(ctx, l, h)
}

func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "VM of a plain service whose calls may not be repeated",
		Flags: []cli.Flag{
			listenFlag, idFlag, zoneFlag, listFlag,
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			vm := port.VM{
				ID:      port.VMID(c.String("id")),
				Kind:    port.KindPlain,
				Address: c.String("listen"),
				Zone:    c.String("zone"),
				Service: c.String("service"),
			}
			s := plainservice.DefaultSettings(vm.ID)
			s.OnCrash = func() { os.Exit(1) }
			return runVM(ctx, c.String("list"), vm, plainservice.New(s))
		},
	}
}
