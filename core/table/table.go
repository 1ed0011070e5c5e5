// Package table implements a node's routing table: which services serve which host and
// path, which keys belong to which customer, and each customer's rate limit.
//
// # Usage
//
//	t, err := table.New(version, routes, customers, services, limits)
//	route := t.Match(host, path)      // nil if no route matches
//	customer := t.CustomerOf(key)     // nil if the key is not known
//
// A Table is immutable once built. All decisions on a request use the same version.
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

// ErrInvalid means that the definitions of a table are invalid or contradict each other.
var ErrInvalid = errors.New("invalid routing table")

// Route maps a host and path prefix to services.
type Route struct {
	ID     world.RouteID
	Host   string
	Prefix string
	// Services share the route's requests in proportion to their weights.
	Services []WeightedService
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value to the caller.
	TargetLatency time.Duration
	Rank          world.Rank
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public opens the route to callers without a key.
	Public bool
	// Homes are the regions in which requests may run, empty if they may run in any.
	Homes []world.RegionID

	totalWeight float64
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service world.ServiceID
	Weight  float64
}

// Service describes the endpoints of a service.
type Service struct {
	ID world.ServiceID
	// HealthPath is the path of their health check, empty if there is none.
	HealthPath string
	// ColdDuration is how long an endpoint is cold after its start, ColdRate the number of calls per
	// second that it accepts meanwhile. They are 0 for a service whose endpoints start warm.
	ColdDuration time.Duration
	ColdRate     float64
}

// Customer is a holder of keys, with the rate limit and burst of all its requests.
type Customer struct {
	ID world.CustomerID
	// Rank takes precedence over the route's rank if HasRank is set.
	Rank    world.Rank
	HasRank bool
	Digests [][sha256.Size]byte
	// Rate is in requests per second; 0 means no limit.
	Rate  float64
	Burst float64
	// Homes are the regions in which the customer's requests may run, empty if they may run in any.
	Homes []world.RegionID
}

// IsLimited reports whether the customer has a rate limit.
func (c *Customer) IsLimited() bool { return c.Rate > 0 }

// Limits holds the maximum sizes of requests and the timeouts of connections from callers.
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
	Services  map[world.ServiceID]Service
	Limits    Limits
	// Grades is the number of grades (combined importance of customer and route).
	Grades int

	grades map[rankPair]world.Grade
	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Customer
}

// New returns a validated and indexed table.
func New(version world.ConfigVersion, routes []*Route, customers []*Customer, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:   version,
		Routes:    routes,
		Customers: customers,
		Services:  map[world.ServiceID]Service{},
		Limits:    limits,
		byHost:    map[string][]*Route{},
		byKey:     map[[sha256.Size]byte]*Customer{},
	}
	for _, s := range services {
		t.Services[s.ID] = s
	}
	for _, r := range routes {
		if err := t.addRoute(r); err != nil {
			return nil, err
		}
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	t.assignGrades()
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
		return errors.Wrapf(ErrInvalid, "route %q for host %q: name or host is empty", r.ID, r.Host)
	case !strings.HasPrefix(r.Prefix, "/"):
		return errors.Wrapf(ErrInvalid, "route %q: path prefix %q does not begin with a slash", r.ID, r.Prefix)
	case r.Timeout <= 0:
		return errors.Wrapf(ErrInvalid, "route %q: timeout %v is not positive", r.ID, r.Timeout)
	}
	for _, p := range r.Services {
		if _, ok := t.Services[p.Service]; !ok {
			return errors.Wrapf(ErrInvalid, "route %q: service %q does not exist", r.ID, p.Service)
		}
		if p.Weight < 0 {
			return errors.Wrapf(ErrInvalid, "route %q: weight %v of service %q is negative", r.ID, p.Weight, p.Service)
		}
		r.totalWeight += p.Weight
	}
	if r.totalWeight <= 0 {
		return errors.Wrapf(ErrInvalid, "route %q: no service has a weight", r.ID)
	}
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// rankPair is the rank of a customer and the rank of a route, compared in this order.
type rankPair struct {
	customer, route world.Rank
}

// noRank is the rank of a customer without one. It equals the first rank.
const noRank world.Rank = 0

// assignGrades sorts all pairs of customer rank and route rank and numbers them. The
// customer's rank takes precedence over the route's.
func (t *Table) assignGrades() {
	var pairs []rankPair
	for _, customer := range t.customerRanks() {
		for _, r := range t.Routes {
			if !r.Public || !t.HasCustomers() {
				pairs = append(pairs, rankPair{customer: customer, route: r.Rank})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b rankPair) int {
		return cmp.Or(cmp.Compare(b.customer, a.customer), cmp.Compare(b.route, a.route))
	})
	pairs = slices.Compact(pairs)
	t.grades = make(map[rankPair]world.Grade, len(pairs))
	for i, o := range pairs {
		t.grades[o] = world.Grade(i)
	}
	t.Grades = len(pairs)
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

// GradeOf returns the grade of a customer's requests on a route. The customer may be nil.
func (t *Table) GradeOf(r *Route, customer *Customer) world.Grade {
	pair := rankPair{customer: noRank, route: r.Rank}
	if customer != nil && customer.HasRank {
		pair.customer = customer.Rank
	}
	if g, ok := t.grades[pair]; ok {
		return g
	}
	// The route serves calls from other services, and the request that caused the call
	// is not known. Use the middle grade.
	return world.Grade(t.Grades / 2)
}

// HomesOf returns the regions in which a customer's requests on a route may run: the endpoint must be in
// a region of each list. The customer may be nil.
func HomesOf(r *Route, customer *Customer) [][]world.RegionID {
	var homes [][]world.RegionID
	if len(r.Homes) > 0 {
		homes = append(homes, r.Homes)
	}
	if customer != nil && len(customer.Homes) > 0 {
		homes = append(homes, customer.Homes)
	}
	return homes
}

// Match returns the host's route with the longest prefix of the path, or nil. It ignores
// a port in host.
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

// CustomerOf returns the customer that holds a key, or nil.
func (t *Table) CustomerOf(key string) *Customer { return t.byKey[sha256.Sum256([]byte(key))] }

// HasCustomers reports whether any customers are defined; if there are, requests carry keys.
func (t *Table) HasCustomers() bool { return len(t.Customers) > 0 }

// ServiceAt returns the service at a point, from 0 to 1, of the cumulative weights.
func (r *Route) ServiceAt(point float64) world.ServiceID {
	remaining := point * r.totalWeight
	for _, p := range r.Services {
		if remaining < p.Weight {
			return p.Service
		}
		remaining -= p.Weight
	}
	// Rounding can put the point just past the last weight.
	for i := len(r.Services) - 1; i >= 0; i-- {
		if r.Services[i].Weight > 0 {
			return r.Services[i].Service
		}
	}
	return r.Services[0].Service
}

// Splitter distributes the requests of each route over its services by weight.
// Successive points of a route differ by the golden ratio (modulo 1), which keeps the
// shares close to the weights even over few requests.
type Splitter struct {
	lastPoints map[world.RouteID]float64
}

// NewSplitter returns an empty splitter.
func NewSplitter() *Splitter { return &Splitter{lastPoints: map[world.RouteID]float64{}} }

const goldenRatioStep = math.Phi - 1

// Next returns the service for the next request of a route. firstPoint returns the point,
// from 0 to 1, at which a route starts.
func (s *Splitter) Next(r *Route, firstPoint func() float64) world.ServiceID {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	point, ok := s.lastPoints[r.ID]
	if !ok {
		point = firstPoint()
	}
	_, point = math.Modf(point + goldenRatioStep)
	s.lastPoints[r.ID] = point
	return r.ServiceAt(point)
}
