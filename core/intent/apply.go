package intent

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// Errors of Apply.
var (
	// ErrUnknown means that an intent refers to an object that does not exist.
	ErrUnknown = errors.New("unknown name")
	// ErrInvalid means that an intent has an invalid value.
	ErrInvalid = errors.New("invalid value")
)

// Kind is the kind of an intent.
type Kind string

// Kinds of intents.
const (
	KindCustomerSet    Kind = "customerSet"
	KindCustomerRemove Kind = "customerRemove"
	KindKeyGrant       Kind = "keyGrant"
	KindKeyWithdraw    Kind = "keyWithdraw"
	KindRouteSet       Kind = "routeSet"
	KindRouteRemove    Kind = "routeRemove"
	KindDomainsSet     Kind = "domainsSet"
	KindLimitsSet      Kind = "limitsSet"
)

// Intent is one change requested by an operator. Kind determines which fields are used.
type Intent struct {
	Kind     Kind             `json:"kind"`
	Customer world.CustomerID `json:"customer,omitempty"`
	Contract Contract         `json:"contract"`
	Key      Key              `json:"key"`
	Route    Route            `json:"route"`
	Domains  []world.DomainID `json:"domains,omitempty"`
	Limits   Limits           `json:"limits"`
}

// Effect describes the result of intents to an operator and holds the intents that undo it.
type Effect struct {
	Lines    []string `json:"lines"`
	Warnings []string `json:"warnings"`
	Inverse  []Intent `json:"inverse"`
}

// Apply applies the intents in order to a copy of the current configuration and returns
// the copy and the effect.
func Apply(current *Config, intents []Intent) (*Config, Effect, error) {
	next, err := current.clone()
	if err != nil {
		return nil, Effect{}, err
	}
	var effect Effect
	for _, in := range intents {
		if err := next.apply(in, &effect); err != nil {
			return nil, Effect{}, err
		}
		next.buildIndex()
	}
	if err := next.check(); err != nil {
		return nil, Effect{}, errors.Wrap(ErrInvalid, err.Error())
	}
	return next, effect, nil
}

// Record sets the version of the change and appends the change to the history, which
// keeps only the latest entries.
func (c *Config) Record(change Change) {
	c.Version = change.Version
	c.History = append(c.History, change)
	if len(c.History) > maxHistoryLength {
		c.History = c.History[len(c.History)-maxHistoryLength:]
	}
}

// HasChange returns the version of the change with the given ID, and false if the
// history does not contain it.
func (c *Config) HasChange(id string) (world.ConfigVersion, bool) {
	for _, change := range c.History {
		if change.ID == id {
			return change.Version, true
		}
	}
	return 0, false
}

func (c *Config) clone() (*Config, error) {
	value, err := c.Encode()
	if err != nil {
		return nil, err
	}
	next := &Config{}
	if err := json.Unmarshal(value, next); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return next.buildIndex(), nil
}

func (c *Config) apply(in Intent, effect *Effect) error {
	switch in.Kind {
	case KindCustomerSet:
		return c.setCustomer(in, effect)
	case KindCustomerRemove:
		return c.removeCustomer(in, effect)
	case KindKeyGrant:
		return c.grantKey(in, effect)
	case KindKeyWithdraw:
		return c.withdrawKey(in, effect)
	case KindRouteSet:
		return c.setRoute(in, effect)
	case KindRouteRemove:
		return c.removeRoute(in, effect)
	case KindDomainsSet:
		return c.setDomains(in, effect)
	case KindLimitsSet:
		return c.setLimits(in, effect)
	default:
		return errors.Wrapf(ErrInvalid, "intent kind %q is not known", in.Kind)
	}
}

func (e *Effect) addLine(format string, args ...any) {
	e.Lines = append(e.Lines, fmt.Sprintf(format, args...))
}

func (e *Effect) addWarning(format string, args ...any) {
	e.Warnings = append(e.Warnings, fmt.Sprintf(format, args...))
}

// prependInverse puts the inverse first, because the last change must be undone first.
func (e *Effect) prependInverse(in ...Intent) { e.Inverse = append(in, e.Inverse...) }

func (c *Config) setCustomer(in Intent, effect *Effect) error {
	if in.Customer == "" {
		return errors.Wrap(ErrInvalid, "customer name is empty")
	}
	if err := in.Contract.check(); err != nil {
		return errors.Wrapf(ErrInvalid, "customer %s: %v", in.Customer, err)
	}
	existing, ok := c.Customer(in.Customer)
	if !ok {
		c.Customers = append(c.Customers, Customer{ID: in.Customer, Contract: in.Contract, Previous: in.Contract})
		effect.addLine("new customer %s gets %g calls/s over the whole fleet; burst %g", in.Customer, in.Contract.Rate, in.Contract.Burst)
		effect.addWarning("customer %s has no key yet: grant one with `wagtailyoke key grant %s`", in.Customer, in.Customer)
		effect.prependInverse(Intent{Kind: KindCustomerRemove, Customer: in.Customer})
		return nil
	}
	old := existing.Contract
	effect.addLine("customer %s gets %g calls/s over the whole fleet, was %g; burst %g, was %g",
		in.Customer, in.Contract.Rate, old.Rate, in.Contract.Burst, old.Burst)
	effect.prependInverse(Intent{Kind: KindCustomerSet, Customer: in.Customer, Contract: old})
	existing.Previous = old
	existing.ChangedAt = c.Version + 1
	existing.Contract = in.Contract
	return nil
}

func (c *Config) removeCustomer(in Intent, effect *Effect) error {
	for i, customer := range c.Customers {
		if customer.ID != in.Customer {
			continue
		}
		c.Customers = append(c.Customers[:i], c.Customers[i+1:]...)
		effect.addLine("customer %s is removed; its %d keys stop working", in.Customer, len(customer.Keys))
		inverse := []Intent{{Kind: KindCustomerSet, Customer: customer.ID, Contract: customer.Contract}}
		for _, key := range customer.Keys {
			inverse = append(inverse, Intent{Kind: KindKeyGrant, Customer: customer.ID, Key: key})
		}
		effect.prependInverse(inverse...)
		return nil
	}
	return errors.Wrapf(ErrUnknown, "customer %q; `wagtailyoke customer list` shows all", in.Customer)
}

func (c *Config) grantKey(in Intent, effect *Effect) error {
	customer, ok := c.Customer(in.Customer)
	if !ok {
		return errors.Wrapf(ErrUnknown, "customer %q; `wagtailyoke customer list` shows all", in.Customer)
	}
	if in.Key.Label == "" {
		return errors.Wrap(ErrInvalid, "key label is empty")
	}
	for _, key := range customer.Keys {
		if key.Label == in.Key.Label {
			return errors.Wrapf(ErrInvalid, "customer %s already has a key labelled %q", in.Customer, in.Key.Label)
		}
	}
	customer.Keys = append(customer.Keys, in.Key)
	effect.addLine("customer %s gets a key labelled %q", in.Customer, in.Key.Label)
	effect.prependInverse(Intent{Kind: KindKeyWithdraw, Customer: in.Customer, Key: Key{Label: in.Key.Label}})
	return nil
}

func (c *Config) withdrawKey(in Intent, effect *Effect) error {
	customer, ok := c.Customer(in.Customer)
	if !ok {
		return errors.Wrapf(ErrUnknown, "customer %q; `wagtailyoke customer list` shows all", in.Customer)
	}
	for i, key := range customer.Keys {
		if key.Label != in.Key.Label {
			continue
		}
		customer.Keys = append(customer.Keys[:i], customer.Keys[i+1:]...)
		effect.addLine("key %q of customer %s stops working within 5 s at every node that can be reached", key.Label, in.Customer)
		if len(customer.Keys) == 0 {
			effect.addWarning("this is the last key of customer %s: it can make no calls afterwards", in.Customer)
		}
		effect.prependInverse(Intent{Kind: KindKeyGrant, Customer: in.Customer, Key: key})
		return nil
	}
	return errors.Wrapf(ErrUnknown, "key label %q of customer %s; `wagtailyoke key list %s` shows all", in.Key.Label, in.Customer, in.Customer)
}

func (c *Config) setRoute(in Intent, effect *Effect) error {
	if err := in.Route.check(); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	effect.addLine("route %s: %s %s to service %s, importance %s, %s, timeout %v", in.Route.ID, in.Route.methodText(), in.Route.Prefix,
		in.Route.Service, in.Route.Importance, in.Route.idempotencyText(), in.Route.Timeout())
	if old, ok := c.Route(in.Route.ID); ok {
		effect.prependInverse(Intent{Kind: KindRouteSet, Route: *old})
		if !old.Idempotent && in.Route.Idempotent {
			effect.addWarning("route %s was never repeated before; from now on its calls may run more than once", in.Route.ID)
		}
		*old = in.Route
		return nil
	}
	c.Routes = append(c.Routes, in.Route)
	effect.prependInverse(Intent{Kind: KindRouteRemove, Route: in.Route})
	return nil
}

func (r Route) methodText() string {
	if r.Method == "" {
		return "any method"
	}
	return r.Method
}

func (r Route) idempotencyText() string {
	if r.Idempotent {
		return "may be repeated"
	}
	return "never repeated"
}

func (c *Config) removeRoute(in Intent, effect *Effect) error {
	for i, route := range c.Routes {
		if route.ID != in.Route.ID {
			continue
		}
		c.Routes = append(c.Routes[:i], c.Routes[i+1:]...)
		effect.addLine("route %s is removed; its calls are refused", route.ID)
		effect.prependInverse(Intent{Kind: KindRouteSet, Route: route})
		return nil
	}
	return errors.Wrapf(ErrUnknown, "route %q; `wagtailyoke route list` shows all", in.Route.ID)
}

func (c *Config) setDomains(in Intent, effect *Effect) error {
	if len(in.Domains) == 0 {
		return errors.Wrap(ErrInvalid, "the list of failure domains is empty")
	}
	if len(c.Domains) > 0 {
		// The list determines which failure domain owns an idempotency record. Two nodes
		// with different lists would store two records for one key, and the call could
		// run twice.
		return errors.Wrap(ErrInvalid, "the list of failure domains is set already and cannot be changed while the fleet runs")
	}
	effect.addLine("failure domains: %v", in.Domains)
	c.Domains = in.Domains
	return nil
}

func (c *Config) setLimits(in Intent, effect *Effect) error {
	const maxRetryBudget = 10
	if in.Limits.RetryBudget < 0 || in.Limits.RetryBudget > maxRetryBudget {
		return errors.Wrapf(ErrInvalid, "retry budget %d is not between 0 and %d", in.Limits.RetryBudget, maxRetryBudget)
	}
	if in.Limits.RecordWindowMs < MaxRouteTimeout.Milliseconds() {
		return errors.Wrapf(ErrInvalid, "record window %d ms is shorter than the longest route timeout", in.Limits.RecordWindowMs)
	}
	if in.Limits.StaleKeysMs < 0 {
		return errors.Wrapf(ErrInvalid, "stale key limit %d ms is negative", in.Limits.StaleKeysMs)
	}
	effect.addLine("retry budget %d, record window %v, stale key limit %v", in.Limits.RetryBudget,
		time.Duration(in.Limits.RecordWindowMs)*time.Millisecond, time.Duration(in.Limits.StaleKeysMs)*time.Millisecond)
	effect.prependInverse(Intent{Kind: KindLimitsSet, Limits: c.Limits})
	c.Limits = in.Limits
	return nil
}
