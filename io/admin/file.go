package admin

import (
	"bytes"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
)

// fleetFile is the configuration in its TOML form. It holds only the digests of keys.
type fleetFile struct {
	Domains   []string       `toml:"domains"`
	Limits    fileLimits     `toml:"limits"`
	Customers []fileCustomer `toml:"customers"`
	Routes    []fileRoute    `toml:"routes"`
}

type fileLimits struct {
	RetryBudget    int   `toml:"retryBudget"`
	RecordWindowMs int64 `toml:"recordWindowMs"`
	StaleKeysMs    int64 `toml:"staleKeysMs"`
}

type fileCustomer struct {
	ID    string    `toml:"id"`
	Rate  float64   `toml:"rate"`
	Burst float64   `toml:"burst"`
	Keys  []fileKey `toml:"keys"`
}

type fileKey struct {
	Label  string `toml:"label"`
	Digest string `toml:"digest"`
}

type fileRoute struct {
	ID         string `toml:"id"`
	Service    string `toml:"service"`
	Method     string `toml:"method"`
	Prefix     string `toml:"prefix"`
	Importance string `toml:"importance"`
	Idempotent bool   `toml:"idempotent"`
	Public     bool   `toml:"public"`
	TimeoutMs  int64  `toml:"timeoutMs"`
}

// parseFleetFile parses a configuration file. Limits it omits get their defaults.
func parseFleetFile(text []byte) (*intent.Config, error) {
	f := fleetFile{Limits: fileLimits(intent.Empty().Limits)}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, errors.Wrap(intent.ErrInvalid, strict.String())
		}
		return nil, errors.Wrap(intent.ErrInvalid, err.Error())
	}
	return f.config()
}

// config converts the file to a configuration. Encoding and decoding it validates it.
func (f *fleetFile) config() (*intent.Config, error) {
	wanted := &intent.Config{Limits: intent.Limits(f.Limits)}
	for _, d := range f.Domains {
		wanted.Domains = append(wanted.Domains, world.DomainID(d))
	}
	for _, c := range f.Customers {
		customer := intent.Customer{ID: world.CustomerID(c.ID), Contract: intent.Contract{Rate: c.Rate, Burst: c.Burst}}
		for _, k := range c.Keys {
			customer.Keys = append(customer.Keys, intent.Key{Label: k.Label, Digest: k.Digest})
		}
		wanted.Customers = append(wanted.Customers, customer)
	}
	for _, r := range f.Routes {
		wanted.Routes = append(wanted.Routes, intent.Route{
			ID: world.RouteID(r.ID), Service: world.ServiceID(r.Service), Method: r.Method, Prefix: r.Prefix,
			Importance: r.Importance, Idempotent: r.Idempotent, Public: r.Public, TimeoutMs: r.TimeoutMs,
		})
	}
	value, err := wanted.Encode()
	if err != nil {
		return nil, err
	}
	checked, err := intent.Decode(0, value)
	return checked, errors.Wrap(err, "fleet file")
}

func newFleetFile(cfg *intent.Config) *fleetFile {
	f := &fleetFile{Limits: fileLimits(cfg.Limits)}
	for _, d := range cfg.Domains {
		f.Domains = append(f.Domains, string(d))
	}
	for _, c := range cfg.Customers {
		customer := fileCustomer{ID: string(c.ID), Rate: c.Contract.Rate, Burst: c.Contract.Burst}
		for _, k := range c.Keys {
			customer.Keys = append(customer.Keys, fileKey{Label: k.Label, Digest: k.Digest})
		}
		f.Customers = append(f.Customers, customer)
	}
	for _, r := range cfg.Routes {
		f.Routes = append(f.Routes, fileRoute{
			ID: string(r.ID), Service: string(r.Service), Method: r.Method, Prefix: r.Prefix,
			Importance: r.Importance, Idempotent: r.Idempotent, Public: r.Public, TimeoutMs: r.TimeoutMs,
		})
	}
	return f
}

type applyFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	app *app
}

// Execute implements flags.Commander.
func (c *applyFile) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return errors.Wrap(intent.ErrInvalid, err.Error())
	}
	wanted, err := parseFleetFile(text)
	if err != nil {
		return err
	}
	current, err := c.app.fleet().config(c.app.ctx)
	if err != nil {
		return err
	}
	intents := intent.Diff(current, wanted)
	if len(intents) == 0 {
		c.app.print("The configuration in force, version %d, is the same. There is nothing to do.", current.Version)
		return nil
	}
	return c.app.propose(intents...)
}

type exportFile struct {
	app *app
}

// Execute implements flags.Commander.
func (c *exportFile) Execute([]string) error {
	cfg, err := c.app.fleet().config(c.app.ctx)
	if err != nil {
		return err
	}
	text, err := toml.Marshal(newFleetFile(cfg))
	if err != nil {
		return errors.Wrap(err, "export")
	}
	_, err = c.app.out.Write(text)
	return errors.Wrap(err, "export")
}
