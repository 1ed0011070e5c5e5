// Package intent defines the fleet configuration, the intents (requested changes)
// that operators submit to modify it, and the plans that show the effect of intents
// before an operator confirms them.
//
// # Usage
//
//	next, effect, err := intent.Apply(current, []intent.Intent{{Kind: intent.KindCustomerSet, ...}})
//	// Show effect.Lines and effect.Warnings, then write next on condition that the
//	// stored version is still that of current.
//
// A Config must not be modified after Decode returns it; lookups use an index that
// Decode builds.
package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// ErrMalformed means that a stored configuration or plan cannot be decoded or is invalid.
var ErrMalformed = errors.New("malformed configuration")

// Contract is a customer's rate limit and burst size across the entire fleet.
type Contract struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is in requests.
	Burst float64 `json:"burst"`
}

// Key is a customer's API key. Only the SHA-256 digest is stored, never the key itself.
type Key struct {
	Digest string `json:"digest"`
	Label  string `json:"label"`
}

// Customer is a customer's configuration: its keys and contract.
type Customer struct {
	ID       world.CustomerID `json:"id"`
	Contract Contract         `json:"contract"`
	// Previous is the contract that applied before version ChangedAt.
	Previous  Contract            `json:"previous"`
	ChangedAt world.ConfigVersion `json:"changedAt"`
	Keys      []Key               `json:"keys"`
}

// Route defines which calls go to a service and the settings that apply to them.
type Route struct {
	ID         world.RouteID   `json:"id"`
	Service    world.ServiceID `json:"service"`
	Method     string          `json:"method"`
	Prefix     string          `json:"prefix"`
	Importance string          `json:"importance"`
	// Idempotent allows a call to run more than once. If false, it must never run twice.
	Idempotent bool `json:"idempotent"`
	// Public opens the route to callers with a key; other routes are open only to upstreams.
	Public    bool  `json:"public"`
	TimeoutMs int64 `json:"timeoutMs"`
}

// Change is a history entry for the change that produced a configuration version.
type Change struct {
	ID      string              `json:"id"`
	Version world.ConfigVersion `json:"version"`
	UnixMs  int64               `json:"unixMs"`
	Summary string              `json:"summary"`
	Inverse []Intent            `json:"inverse"`
}

// Limits holds fleet-wide settings that rarely change.
type Limits struct {
	RetryBudget    int   `json:"retryBudget"`
	RecordWindowMs int64 `json:"recordWindowMs"`
	// StaleKeysMs is the maximum time in milliseconds for which an isolated failure
	// domain accepts keys without receiving the configuration's version. 0 means no limit.
	StaleKeysMs int64 `json:"staleKeysMs"`
}

// Config is one version of the fleet configuration.
type Config struct {
	Version   world.ConfigVersion `json:"version"`
	Domains   []world.DomainID    `json:"domains"`
	Customers []Customer          `json:"customers"`
	Routes    []Route             `json:"routes"`
	Limits    Limits              `json:"limits"`
	History   []Change            `json:"history"`

	byDigest   map[string]int
	byCustomer map[world.CustomerID]int
	importance []world.Importance
}

// Defaults and bounds of settings.
const (
	DefaultRetryBudget  = 2
	DefaultRecordWindow = 10 * time.Minute
	DefaultRouteTimeout = 2 * time.Second
	MaxRouteTimeout     = time.Minute
	maxHistoryLength    = 50
)

// Empty returns the initial configuration, with default limits.
func Empty() *Config {
	return (&Config{Limits: Limits{
		RetryBudget:    DefaultRetryBudget,
		RecordWindowMs: DefaultRecordWindow.Milliseconds(),
	}}).buildIndex()
}

// Digest returns the hex-encoded SHA-256 digest under which a key is stored.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Encode returns the configuration as JSON, as it is stored.
func (c *Config) Encode() ([]byte, error) {
	return json.Marshal(c)
}

// Decode parses and validates a stored configuration. The version is the one that the
// object store assigned to it.
func Decode(version world.ConfigVersion, value []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(value, c); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	c.Version = version
	if err := c.check(); err != nil {
		return nil, err
	}
	return c.buildIndex(), nil
}

func (c *Config) check() error {
	seen := map[string]bool{}
	for _, customer := range c.Customers {
		if customer.ID == "" || seen["c"+string(customer.ID)] {
			return errors.Wrapf(ErrMalformed, "customer %q is empty or repeated", customer.ID)
		}
		seen["c"+string(customer.ID)] = true
		if err := customer.Contract.check(); err != nil {
			return errors.Wrapf(err, "customer %s", customer.ID)
		}
		for _, key := range customer.Keys {
			if len(key.Digest) != 2*sha256.Size || seen["k"+key.Digest] {
				return errors.Wrapf(ErrMalformed, "customer %s has a bad or repeated key digest", customer.ID)
			}
			seen["k"+key.Digest] = true
		}
	}
	for _, route := range c.Routes {
		if seen["r"+string(route.ID)] {
			return errors.Wrapf(ErrMalformed, "route %q is repeated", route.ID)
		}
		seen["r"+string(route.ID)] = true
		if err := route.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c Contract) check() error {
	const maxValue = 1e9
	if !(c.Rate > 0) || c.Rate > maxValue || !(c.Burst >= 1) || c.Burst > maxValue {
		return errors.Wrapf(ErrMalformed, "rate %v must be above 0 and burst %v at least 1", c.Rate, c.Burst)
	}
	return nil
}

func (r Route) check() error {
	if r.ID == "" || r.Service == "" {
		return errors.Wrapf(ErrMalformed, "route %q needs a name and a service", r.ID)
	}
	if _, ok := world.ParseImportance(r.Importance); !ok {
		return errors.Wrapf(ErrMalformed, "route %s: importance %q is not internal, browse, lookup or critical", r.ID, r.Importance)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Wrapf(ErrMalformed, "route %s: prefix %q does not start with /", r.ID, r.Prefix)
	}
	if r.TimeoutMs < 0 || r.TimeoutMs > MaxRouteTimeout.Milliseconds() {
		return errors.Wrapf(ErrMalformed, "route %s: timeout %d ms is not between 0 and %d", r.ID, r.TimeoutMs, MaxRouteTimeout.Milliseconds())
	}
	return nil
}

func (c *Config) buildIndex() *Config {
	c.byDigest = map[string]int{}
	c.byCustomer = map[world.CustomerID]int{}
	c.importance = make([]world.Importance, len(c.Routes))
	for i, customer := range c.Customers {
		c.byCustomer[customer.ID] = i
		for _, key := range customer.Keys {
			c.byDigest[key.Digest] = i
		}
	}
	for i, route := range c.Routes {
		c.importance[i], _ = world.ParseImportance(route.Importance)
	}
	return c
}

// CustomerOfKey returns the customer that holds the key with the given digest.
func (c *Config) CustomerOfKey(digest string) (*Customer, bool) {
	i, ok := c.byDigest[digest]
	if !ok {
		return nil, false
	}
	return &c.Customers[i], true
}

// Customer returns the customer with the given ID.
func (c *Config) Customer(id world.CustomerID) (*Customer, bool) {
	i, ok := c.byCustomer[id]
	if !ok {
		return nil, false
	}
	return &c.Customers[i], true
}

// Match returns the route for a call: of the routes that accept the method, the one
// with the longest prefix that matches the path.
func (c *Config) Match(method, path string) (*Route, bool) {
	best := -1
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Method != "" && r.Method != method {
			continue
		}
		if !matchesPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	return &c.Routes[best], true
}

// matchesPrefix compares complete path segments: /lots matches /lots/7, but not /lotsale.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Route returns the route with the given ID.
func (c *Config) Route(id world.RouteID) (*Route, bool) {
	for i := range c.Routes {
		if c.Routes[i].ID == id {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// ParsedImportance returns the route's importance as a world.Importance.
func (r *Route) ParsedImportance() world.Importance {
	class, _ := world.ParseImportance(r.Importance)
	return class
}

// Timeout returns the timeout of calls whose caller sets none.
func (r *Route) Timeout() time.Duration {
	if r.TimeoutMs == 0 {
		return DefaultRouteTimeout
	}
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// RecordWindow returns how long idempotency records are retained.
func (c *Config) RecordWindow() time.Duration {
	return time.Duration(c.Limits.RecordWindowMs) * time.Millisecond
}

// ObjectKey is the key of the configuration in the object store.
const ObjectKey = "config"
