package admin

import (
	"crypto/rand"
	"encoding/base64"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
)

// command describes a command or subcommand.
type command struct {
	name  string
	short string
	long  string
	data  any
	subs  []command
}

func (a *app) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Global options", "", &a.options); err != nil {
		return errors.Wrap(err, "options")
	}
	return addCommands(parser.Command, a.commands())
}

func addCommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		if c.data == nil {
			c.data = &struct{}{}
		}
		added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return errors.Wrap(err, c.name)
		}
		if err := addCommands(added, c.subs); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) commands() []command {
	return []command{
		{name: "node", short: "run a node", long: "Runs a node until SIGTERM.\n\nExample: wagtailyoke node --config node.toml", data: &nodeCommand{app: a}},
		{name: "sidecar", short: "run a node of a mesh", long: "Runs the node beside an upstream until SIGTERM. Callers are on the same VM.\n\nExample: wagtailyoke sidecar --config sidecar.toml", data: &sidecarCommand{app: a}},
		{name: "explain", short: "show the log lines about one request", long: "Prints the lines about a request in the logs of several nodes, in time order.\n\nExample: wagtailyoke explain 9c41d07be2a35f68 mill-st-1.log annex-b-4.log", data: &explainCommand{app: a}},
		{name: "customer", short: "customers and their contracts", subs: []command{
			{name: "set", short: "add a customer or change its contract", long: "Example: wagtailyoke customer set mill-7 --rate 40 --burst 80", data: &customerSet{app: a}},
			{name: "remove", short: "remove a customer and its keys", data: &customerRemove{app: a}},
			{name: "list", short: "list customers", data: &listCommand{app: a, what: listCustomers}},
		}},
		{name: "key", short: "customers' keys", subs: []command{
			{name: "grant", short: "create a key; it is shown once", long: "Example: wagtailyoke key grant mill-7 --label office", data: &keyGrant{app: a}},
			{name: "withdraw", short: "withdraw a key", long: "Example: wagtailyoke key withdraw mill-7 --label office", data: &keyWithdraw{app: a}},
			{name: "list", short: "list keys by label", data: &listCommand{app: a, what: listKeys}},
		}},
		{name: "route", short: "routes and their importance", subs: []command{
			{name: "set", short: "add or change a route", long: "Example: wagtailyoke route set lotbook.reserve --service lotbook --method POST --prefix /lotbook/reserve --importance critical --never-repeat --public", data: &routeSet{app: a}},
			{name: "remove", short: "remove a route", data: &routeRemove{app: a}},
			{name: "list", short: "list routes", data: &listCommand{app: a, what: listRoutes}},
		}},
		{name: "domain", short: "failure domains", subs: []command{
			{name: "set", short: "state the failure domains, once", long: "Example: wagtailyoke domain set mill-st river-rd annex-b", data: &domainSet{app: a}},
		}},
		{name: "limits", short: "fleet-wide limits", data: &limitsSet{app: a}},
		{name: "apply", short: "plan a complete configuration from a TOML file", long: "Example: wagtailyoke apply fleet.toml", data: &applyFile{app: a}},
		{name: "export", short: "write the configuration as TOML", data: &exportFile{app: a}},
		{name: "confirm", short: "put a plan in force", long: "Example: wagtailyoke confirm 3f9a0c11", data: &confirmCommand{app: a}},
		{name: "plans", short: "list unconfirmed plans", data: &plansCommand{app: a}},
		{name: "history", short: "list the last changes", data: &historyCommand{app: a}},
		{name: "undo", short: "plan the reverse of a change", long: "Example: wagtailyoke undo 3f9a0c11", data: &undoCommand{app: a}},
		{name: "status", short: "what is wrong now, and what to do", data: &statusCommand{app: a}},
		{name: "doctor", short: "check settings, platform, nodes and clock", data: &doctorCommand{app: a}},
	}
}

// propose stores a plan for the intents and prints it.
func (a *app) propose(intents ...intent.Intent) error {
	p, err := a.fleet().propose(a.ctx, intents)
	if err != nil {
		return err
	}
	return a.showPlan(p)
}

func (a *app) showPlan(p *intent.Plan) error {
	if a.options.JSON {
		return a.printJSON(p)
	}
	a.print("Plan %s, from version %d to %d:", p.ID, p.Base, p.Base+1)
	for _, line := range p.Effect.Lines {
		a.print("  - %s", line)
	}
	for _, warning := range p.Effect.Warnings {
		a.print("  ! %s", warning)
	}
	a.print("Nothing has changed yet. To put it in force: wagtailyoke confirm %s", p.ID)
	return nil
}

type customerArg struct {
	Customer string `positional-arg-name:"CUSTOMER" required:"true"`
}

type customerSet struct {
	Rate  float64     `long:"rate" required:"true" description:"calls per second over the whole fleet"`
	Burst float64     `long:"burst" required:"true" description:"calls that may come at once"`
	Args  customerArg `positional-args:"true"`
	app   *app
}

// Execute implements flags.Commander.
func (c *customerSet) Execute([]string) error {
	return c.app.propose(intent.Intent{
		Kind:     intent.KindCustomerSet,
		Customer: world.CustomerID(c.Args.Customer),
		Contract: intent.Contract{Rate: c.Rate, Burst: c.Burst},
	})
}

type customerRemove struct {
	Args customerArg `positional-args:"true"`
	app  *app
}

// Execute implements flags.Commander.
func (c *customerRemove) Execute([]string) error {
	return c.app.propose(intent.Intent{Kind: intent.KindCustomerRemove, Customer: world.CustomerID(c.Args.Customer)})
}

type keyGrant struct {
	Label string      `long:"label" required:"true" description:"a name for the key"`
	Args  customerArg `positional-args:"true"`
	app   *app
}

// Execute implements flags.Commander.
func (c *keyGrant) Execute([]string) error {
	key := newKey(c.Args.Customer)
	p, err := c.app.fleet().propose(c.app.ctx, []intent.Intent{{
		Kind:     intent.KindKeyGrant,
		Customer: world.CustomerID(c.Args.Customer),
		Key:      intent.Key{Digest: intent.Digest(key), Label: c.Label},
	}})
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		return c.app.printJSON(struct {
			Key  string       `json:"key"`
			Plan *intent.Plan `json:"plan"`
		}{key, p})
	}
	c.app.print("Key (shown only now, it is stored as a digest): %s", key)
	return c.app.showPlan(p)
}

// newKey returns a random key that starts with the customer's name.
func newKey(customer string) string {
	const keyBytes = 24
	b := make([]byte, keyBytes)
	_, _ = rand.Read(b)
	return customer + "_" + base64.RawURLEncoding.EncodeToString(b)
}

type keyWithdraw struct {
	Label string      `long:"label" required:"true" description:"the key's name"`
	Args  customerArg `positional-args:"true"`
	app   *app
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	return c.app.propose(intent.Intent{
		Kind:     intent.KindKeyWithdraw,
		Customer: world.CustomerID(c.Args.Customer),
		Key:      intent.Key{Label: c.Label},
	})
}

type routeArg struct {
	Route string `positional-arg-name:"ROUTE" required:"true"`
}

type routeSet struct {
	Service     string   `long:"service" required:"true" description:"service that answers"`
	Method      string   `long:"method" description:"HTTP method; any if left out"`
	Prefix      string   `long:"prefix" required:"true" description:"path prefix, whole segments"`
	Importance  string   `long:"importance" required:"true" choice:"internal" choice:"browse" choice:"lookup" choice:"critical"`
	NeverRepeat bool     `long:"never-repeat" description:"calls must never run twice"`
	Public      bool     `long:"public" description:"open to callers with a key"`
	TimeoutMs   int64    `long:"timeout-ms" description:"time for a call" default:"2000"`
	Args        routeArg `positional-args:"true"`
	app         *app
}

// Execute implements flags.Commander.
func (c *routeSet) Execute([]string) error {
	return c.app.propose(intent.Intent{Kind: intent.KindRouteSet, Route: intent.Route{
		ID:         world.RouteID(c.Args.Route),
		Service:    world.ServiceID(c.Service),
		Method:     strings.ToUpper(c.Method),
		Prefix:     c.Prefix,
		Importance: c.Importance,
		Idempotent: !c.NeverRepeat,
		Public:     c.Public,
		TimeoutMs:  c.TimeoutMs,
	}})
}

type routeRemove struct {
	Args routeArg `positional-args:"true"`
	app  *app
}

// Execute implements flags.Commander.
func (c *routeRemove) Execute([]string) error {
	return c.app.propose(intent.Intent{Kind: intent.KindRouteRemove, Route: intent.Route{ID: world.RouteID(c.Args.Route)}})
}

type domainSet struct {
	Args struct {
		Domains []string `positional-arg-name:"DOMAIN" required:"1"`
	} `positional-args:"true"`
	app *app
}

// Execute implements flags.Commander.
func (c *domainSet) Execute([]string) error {
	domains := make([]world.DomainID, 0, len(c.Args.Domains))
	for _, d := range c.Args.Domains {
		domains = append(domains, world.DomainID(d))
	}
	return c.app.propose(intent.Intent{Kind: intent.KindDomainsSet, Domains: domains})
}

type limitsSet struct {
	RetryBudget   *int   `long:"retry-budget" description:"retries of one request over its whole tree of calls"`
	RecordMinutes *int64 `long:"record-minutes" description:"how long idempotency records are kept"`
	StaleKeysMs   *int64 `long:"stale-keys-ms" description:"how long a cut-off failure domain accepts keys; 0 is no bound"`
	app           *app
}

// Execute implements flags.Commander.
func (c *limitsSet) Execute([]string) error {
	const msPerMinute = 60_000
	cfg, err := c.app.fleet().config(c.app.ctx)
	if err != nil {
		return err
	}
	limits := cfg.Limits
	if c.RetryBudget != nil {
		limits.RetryBudget = *c.RetryBudget
	}
	if c.RecordMinutes != nil {
		limits.RecordWindowMs = *c.RecordMinutes * msPerMinute
	}
	if c.StaleKeysMs != nil {
		limits.StaleKeysMs = *c.StaleKeysMs
	}
	return c.app.propose(intent.Intent{Kind: intent.KindLimitsSet, Limits: limits})
}
