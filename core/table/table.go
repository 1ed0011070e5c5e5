// Package table holds the routing table that is in force at a node: which service
// serves which host and path, whose keys are known, and what each customer may ask for.
//
// # Usage
//
//	t, err := table.New(version, routes, customers, limits)
//	route := t.Match(host, path)      // nil if no route matches
//	customer := t.CustomerOf(key)     // nil if the key is not known
//
// A Table does not change once it is built, so that all decisions on one request see
// one version.
package table

import (
	"cmp"
	"crypto/sha256"
	"math"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// ErrInvalid means that a table contradicts itself.
var ErrInvalid = errors.New("invalid routing table")

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	ID     world.RouteID
	Host   string
	Prefix string
	// Services are the services that share the route's requests by weight.
	Services []WeightedService
	// Idempotent allows that a request runs more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use.
	TargetLatency time.Duration
	Rank          world.Rank
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public opens the route to callers without a key.
	Public bool

	total float64
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service world.ServiceID
	Weight  float64
}

// Customer is who holds keys, with the rate and burst of all its requests.
type Customer struct {
	ID world.CustomerID
	// Rank replaces the rank of the route where HasRank is set.
	Rank    world.Rank
	HasRank bool
	Digests [][sha256.Size]byte
	// Rate is in requests per second; 0 means that there is no limit.
	Rate  float64
	Burst float64
}

// IsLimited reports whether the customer has a rate.
func (c *Customer) IsLimited() bool { return c.Rate > 0 }

// Limits bound what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing table.
type Table struct {
	Version   world.ConfigVersion
	Routes    []*Route
	Customers []*Customer
	Services  map[world.ServiceID]bool
	Limits    Limits
	// Grades is the number of grades.
	Grades int

	grades map[order]world.Grade
	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Customer
}

// New checks and indexes a table.
func New(version world.ConfigVersion, routes []*Route, customers []*Customer, services []world.ServiceID, limits Limits) (*Table, error) {
	t := &Table{
		Version:   version,
		Routes:    routes,
		Customers: customers,
		Services:  map[world.ServiceID]bool{},
		Limits:    limits,
		byHost:    map[string][]*Route{},
		byKey:     map[[sha256.Size]byte]*Customer{},
	}
	for _, s := range services {
		t.Services[s] = true
	}
	for _, r := range routes {
		if err := t.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	t.grade()
	for _, c := range customers {
		for _, digest := range c.Digests {
			if other := t.byKey[digest]; other != nil && other != c {
				return nil, errors.Wrapf(ErrInvalid, "customers %q and %q hold the same key", other.ID, c.ID)
			}
			t.byKey[digest] = c
		}
	}
	return t, nil
}

func (t *Table) addRoute(r *Route) error {
	switch {
	case r.ID == "" || r.Host == "":
		return errors.Wrapf(ErrInvalid, "route %q for host %q has no name or no host", r.ID, r.Host)
	case !strings.HasPrefix(r.Prefix, "/"):
		return errors.Wrapf(ErrInvalid, "route %q: path prefix %q does not begin with a slash", r.ID, r.Prefix)
	case r.Timeout <= 0:
		return errors.Wrapf(ErrInvalid, "route %q: timeout %v is not positive", r.ID, r.Timeout)
	}
	for _, p := range r.Services {
		if !t.Services[p.Service] {
			return errors.Wrapf(ErrInvalid, "route %q: service %q does not exist", r.ID, p.Service)
		}
		if p.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "route %q: weight %v of service %q is negative", r.ID, p.Weight, p.Service)
		}
		r.total += p.Weight
	}
	if r.total <= 0 {
		return errors.Wrapf(ErrInvalid, "route %q: no service has a weight", r.ID)
	}
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// order is the rank of a customer, then that of a route.
type order struct {
	customer, route world.Rank
}

// noRank stands for a customer without a rank: it counts like the first one.
const noRank world.Rank = 0

// grade orders all pairs of customer and route. A customer's rank goes before the
// route's.
func (t *Table) grade() {
	var orders []order
	for _, customer := range t.customerRanks() {
		for _, r := range t.Routes {
			if !r.Public || !t.HasCustomers() {
				orders = append(orders, order{customer: customer, route: r.Rank})
			}
		}
	}
	slices.SortFunc(orders, func(a, b order) int {
		return cmp.Or(cmp.Compare(b.customer, a.customer), cmp.Compare(b.route, a.route))
	})
	orders = slices.Compact(orders)
	t.grades = make(map[order]world.Grade, len(orders))
	for i, o := range orders {
		t.grades[o] = world.Grade(i)
	}
	t.Grades = len(orders)
}

func (t *Table) customerRanks() []world.Rank {
	ranks := []world.Rank{noRank}
	for _, c := range t.Customers {
		if c.HasRank {
			ranks = append(ranks, c.Rank)
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// GradeOf returns the grade of a customer's requests on a route. customer may be nil.
func (t *Table) GradeOf(r *Route, customer *Customer) world.Grade {
	o := order{customer: noRank, route: r.Rank}
	if customer != nil && customer.HasRank {
		o.customer = customer.Rank
	}
	if g, ok := t.grades[o]; ok {
		return g
	}
	// The route serves other services, and it is not known for which request.
	return world.Grade(t.Grades / 2)
}

// Match returns the route with the longest prefix of the path among those of the host.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// CustomerOf returns the customer that holds a key.
func (t *Table) CustomerOf(key string) *Customer { return t.byKey[sha256.Sum256([]byte(key))] }

// HasCustomers reports whether requests carry keys.
func (t *Table) HasCustomers() bool { return len(t.Customers) > 0 }

// ServiceAt returns the service at a point between 0 and 1 of the route's weights.
func (r *Route) ServiceAt(point float64) world.ServiceID {
	at := point * r.total
	for _, p := range r.Services {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	// Rounding can leave a point just beyond the last weight.
	for i := len(r.Services) - 1; i >= 0; i-- {
		if r.Services[i].Weight > 0 {
			return r.Services[i].Service
		}
	}
	return r.Services[0].Service
}

// Splitter spreads the requests of each route over its services. The points of a
// route follow the golden ratio, which keeps short runs close to the weights too.
type Splitter struct {
	points map[world.RouteID]float64
}

// NewSplitter returns a splitter. draw places each route's first point.
func NewSplitter() *Splitter { return &Splitter{points: map[world.RouteID]float64{}} }

const goldenStep = math.Phi - 1

// Next returns the service for the next request of a route.
func (s *Splitter) Next(r *Route, draw func() float64) world.ServiceID {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	point, ok := s.points[r.ID]
	if !ok {
		point = draw()
	}
	_, point = math.Modf(point + goldenStep)
	s.points[r.ID] = point
	return r.ServiceAt(point)
}
