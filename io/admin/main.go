package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/store"
	"wagtailyoke/io/conf"
	"wagtailyoke/io/proc"
)

// Exit codes of the program.
const (
	exitOK = iota
	// exitFailed means any other failure, mostly outside the program; try again.
	exitFailed
	// exitUsage means that the command or the settings are invalid.
	exitUsage
	// exitPlanVoid means that the configuration changed after the plan was made.
	exitPlanVoid
	// exitPartial means that the change is made, but not yet in force at every node.
	exitPartial
)

// ErrPartial means that a change is not in force at every node yet.
var ErrPartial = errors.New("not in force everywhere yet")

// options holds the flags that all commands share.
type options struct {
	Platform string `long:"platform" env:"WAGTAILYOKE_PLATFORM" description:"URL of the platform's object API" default:"http://127.0.0.1:7000"`
	Secret   string `long:"secret" env:"WAGTAILYOKE_SECRET" description:"the fleet's secret, to ask nodes for their status"`
	JSON     bool   `long:"json" description:"print JSON"`
}

// app is the state of one invocation of the program.
type app struct {
	options options
	out     io.Writer
	ctx     context.Context
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restore the default handling, so that a second signal ends the process immediately.
	context.AfterFunc(ctx, stop)
	a := &app{out: out, ctx: ctx}
	parser := flags.NewNamedParser("wagtailyoke", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	if err := a.register(parser); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitUsage
	}
	_, err := parser.ParseArgs(args)
	return reportError(err, out, errOut)
}

const longHelp = `Overload control for a service call graph.

State an intent, read its plan, confirm it:
  wagtailyoke customer set mill-7 --rate 40 --burst 80
  wagtailyoke key grant mill-7 --label office
  wagtailyoke confirm 3f9a0c11
Look at the fleet:
  wagtailyoke status
Run a node in a VM's slot:
  wagtailyoke node --config node.toml
Exit codes: 0 done; 1 failed, try again; 2 wrong command or settings;
3 the plan is void; 4 made, but not yet in force at every node.`

// reportError prints err and returns the exit code for it.
func reportError(err error, out, errOut io.Writer) int {
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		_, _ = fmt.Fprintln(errOut, flagErr.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(errOut, "wagtailyoke:", err)
	switch {
	case errors.Is(err, intent.ErrPlanOutdated):
		return exitPlanVoid
	case errors.Is(err, ErrPartial):
		return exitPartial
	case errors.Is(err, conf.ErrInvalid), errors.Is(err, intent.ErrInvalid), errors.Is(err, intent.ErrUnknown), errors.Is(err, store.ErrNotFound):
		return exitUsage
	default:
		return exitFailed
	}
}

func (a *app) fleet() *fleetClient { return newFleetClient(&a.options) }

func (a *app) print(format string, args ...any) { _, _ = fmt.Fprintf(a.out, format+"\n", args...) }

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "output")
}

// nodeCommand runs a node.
type nodeCommand struct {
	Config string `long:"config" required:"true" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and exit"`
	app    *app
}

// Execute implements flags.Commander.
func (c *nodeCommand) Execute([]string) error {
	s, err := conf.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		c.app.print("%s: settings are valid", c.Config)
		return nil
	}
	return proc.Run(c.app.ctx, s)
}

// sidecarCommand runs a mesh node.
type sidecarCommand struct {
	Config string `long:"config" required:"true" description:"settings file"`
	Check  bool   `long:"check" description:"check the settings and exit"`
	app    *app
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute([]string) error {
	s, err := conf.LoadSidecar(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		c.app.print("%s: settings are valid", c.Config)
		return nil
	}
	return proc.RunSidecar(c.app.ctx, c.Config, s)
}
