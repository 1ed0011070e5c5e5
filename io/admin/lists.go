package admin

import (
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
)

// listCommand prints one part of the configuration, with the function what.
type listCommand struct {
	app  *app
	what func(*app, *intent.Config) error
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	cfg, err := c.app.fleet().config(c.app.ctx)
	if err != nil {
		return err
	}
	return c.what(c.app, cfg)
}

func listCustomers(a *app, cfg *intent.Config) error {
	if a.options.JSON {
		return a.printJSON(cfg.Customers)
	}
	a.print("%-24s %10s %10s %5s", "CUSTOMER", "RATE/s", "BURST", "KEYS")
	for _, c := range cfg.Customers {
		a.print("%-24s %10g %10g %5d", c.ID, c.Contract.Rate, c.Contract.Burst, len(c.Keys))
	}
	return nil
}

func listKeys(a *app, cfg *intent.Config) error {
	const shownDigest = 12
	if a.options.JSON {
		return a.printJSON(cfg.Customers)
	}
	a.print("%-24s %-24s %s", "CUSTOMER", "LABEL", "DIGEST")
	for _, c := range cfg.Customers {
		for _, k := range c.Keys {
			a.print("%-24s %-24s %s…", c.ID, k.Label, k.Digest[:shownDigest])
		}
	}
	return nil
}

func listRoutes(a *app, cfg *intent.Config) error {
	if a.options.JSON {
		return a.printJSON(cfg.Routes)
	}
	a.print("%-24s %-14s %-7s %-28s %-10s %-13s %-7s %s", "ROUTE", "SERVICE", "METHOD", "PREFIX", "IMPORTANCE", "REPEAT", "PUBLIC", "TIMEOUT")
	for _, r := range cfg.Routes {
		repeat := "may repeat"
		if !r.Idempotent {
			repeat = "never repeat"
		}
		a.print("%-24s %-14s %-7s %-28s %-10s %-13s %-7v %v", r.ID, r.Service, r.Method, r.Prefix, r.Importance, repeat, r.Public, r.Timeout())
	}
	return nil
}

type plansCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *plansCommand) Execute([]string) error {
	f := c.app.fleet()
	cfg, err := f.config(c.app.ctx)
	if err != nil {
		return err
	}
	objects, err := f.platform.ListNow(c.app.ctx, intent.PlanPrefix)
	if err != nil {
		return err
	}
	var waiting []*intent.Plan
	for _, o := range objects {
		p, err := intent.DecodePlan(o.Value)
		if err != nil || p.Base != cfg.Version {
			continue
		}
		waiting = append(waiting, p)
	}
	if c.app.options.JSON {
		return c.app.printJSON(waiting)
	}
	for _, p := range waiting {
		c.app.print("%s  %s", p.ID, p.Summary())
	}
	if len(waiting) == 0 {
		c.app.print("No plan waits for version %d.", cfg.Version)
	}
	return nil
}

type historyCommand struct {
	app *app
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	cfg, err := c.app.fleet().config(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		return c.app.printJSON(cfg.History)
	}
	for _, change := range cfg.History {
		at := time.UnixMilli(change.UnixMs).UTC().Format(time.RFC3339)
		c.app.print("version %d  %s  %s  %s", change.Version, at, change.ID, change.Summary)
	}
	return nil
}

type undoCommand struct {
	Args struct {
		Change string `positional-arg-name:"CHANGE" required:"true"`
	} `positional-args:"true"`
	app *app
}

// Execute implements flags.Commander.
func (c *undoCommand) Execute([]string) error {
	cfg, err := c.app.fleet().config(c.app.ctx)
	if err != nil {
		return err
	}
	for _, change := range cfg.History {
		if change.ID != c.Args.Change {
			continue
		}
		if len(change.Inverse) == 0 {
			return errors.Wrapf(intent.ErrInvalid, "change %s cannot be undone", change.ID)
		}
		return c.app.propose(change.Inverse...)
	}
	return errors.Wrapf(intent.ErrUnknown, "change %q; `wagtailyoke history` lists them", c.Args.Change)
}

// versionName returns the version for display, or "none" for 0, the empty configuration.
func versionName(v world.ConfigVersion) any {
	if v == 0 {
		return "none"
	}
	return v
}
