package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"wagtailyoke/core/intent"
)

// deployment describes a fleet on loopback addresses for the load generator.
type deployment struct {
	Name      string     `json:"name"`
	Platform  string     `json:"platform"`
	Domains   []string   `json:"domains"`
	Endpoints []endpoint `json:"endpoints"`
	Customers []customer `json:"customers"`
	Mix       []call     `json:"mix"`
	// Capacity is the rate of requests of the mix, in requests per second with all their
	// child calls, that the slots can serve.
	Capacity float64 `json:"capacity"`
}

// readDeployment reads deployment.json from a folder written by 'standin fleet'.
func readDeployment(dir string) (*deployment, error) {
	text, err := os.ReadFile(filepath.Join(dir, "deployment.json"))
	if err != nil {
		return nil, err
	}
	d := &deployment{}
	return d, json.Unmarshal(text, d)
}

type endpoint struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Service  string `json:"service"`
	Public   string `json:"public"`
	Egress   string `json:"egress"`
	Peer     string `json:"peer"`
	Ops      string `json:"ops"`
	Upstream string `json:"upstream"`
	// Direct is the address of a copy of the upstream that runs without a node.
	Direct      string `json:"direct"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	TimeUs      int    `json:"timeUs"`
}

type customer struct {
	ID    string  `json:"id"`
	Key   string  `json:"key"`
	Share float64 `json:"share"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// call is one type of request in the mix.
type call struct {
	Route    string  `json:"route"`
	Service  string  `json:"service"`
	Method   string  `json:"method"`
	Path     string  `json:"path"`
	Share    float64 `json:"share"`
	Critical bool    `json:"critical"`
	Reserve  bool    `json:"reserve"`
	// Visits lists the services that one request visits, with repetitions.
	Visits []string `json:"visits"`
}

// service describes a service of a deployment.
type service struct {
	name      string
	endpoints int
	slots     int
	// connections is the maximum number of concurrent calls at an endpoint. Calls beyond
	// its slots wait in its queue.
	connections int
	timeUs      int
}

// deploymentSpec describes the domains, services, routes and request mix of a deployment.
type deploymentSpec struct {
	domains  []string
	services []service
	routes   []intent.Route
	mix      []call
}

var deploymentSpecs = map[string]deploymentSpec{
	"tallapoosa": {
		domains: []string{"mill-st", "river-rd", "annex-b"},
		services: []service{
			{"stockdesk", 3, 60, 450, 120_000},
			{"lotbook", 3, 60, 450, 100_000},
			{"pricebook", 3, 60, 450, 80_000},
			{"yardgate", 3, 15, 190, 60_000},
		},
		routes: []intent.Route{
			{ID: "stock.look", Service: "stockdesk", Method: "GET", Prefix: "/stockdesk/stock", Importance: "lookup", Idempotent: true, Public: true},
			{ID: "stock.browse", Service: "stockdesk", Method: "GET", Prefix: "/stockdesk/browse", Importance: "browse", Idempotent: true, Public: true},
			{ID: "price.look", Service: "pricebook", Method: "GET", Prefix: "/pricebook/price", Importance: "lookup", Idempotent: true, Public: true},
			{ID: "lot.look", Service: "lotbook", Method: "GET", Prefix: "/lotbook/lot", Importance: "lookup", Idempotent: true, Public: true},
			{ID: "lot.reserve", Service: "lotbook", Method: "POST", Prefix: "/lotbook/reserve", Importance: "critical", Public: true},
			{ID: "gate.look", Service: "yardgate", Method: "GET", Prefix: "/yardgate/gate", Importance: "critical", Idempotent: true, Public: true},
		},
		mix: []call{
			{Route: "stock.look", Service: "stockdesk", Method: "GET", Path: "/stockdesk/stock?child=/lotbook/lot&child=/pricebook/price", Share: 0.45, Visits: []string{"stockdesk", "lotbook", "pricebook"}},
			{Route: "stock.browse", Service: "stockdesk", Method: "GET", Path: "/stockdesk/browse?child=/pricebook/price", Share: 0.2, Visits: []string{"stockdesk", "pricebook"}},
			{Route: "price.look", Service: "pricebook", Method: "GET", Path: "/pricebook/price", Share: 0.15, Visits: []string{"pricebook"}},
			{Route: "lot.reserve", Service: "lotbook", Method: "POST", Path: "/lotbook/reserve?child=/pricebook/price", Share: 0.12, Critical: true, Reserve: true, Visits: []string{"lotbook", "pricebook"}},
			{Route: "gate.look", Service: "yardgate", Method: "GET", Path: "/yardgate/gate?child=/lotbook/lot", Share: 0.08, Critical: true, Visits: []string{"yardgate", "lotbook"}},
		},
	},
	"exchange": {
		domains: []string{"kr-central-a", "kr-central-b", "kr-central-c"},
		services: []service{
			{"catalogue", 4, 110, 750, 200_000},
			{"inventory", 4, 110, 750, 160_000},
			{"reservations", 3, 110, 770, 120_000},
			{"pricing", 3, 50, 380, 60_000},
		},
		routes: []intent.Route{
			{ID: "catalogue.browse", Service: "catalogue", Method: "GET", Prefix: "/catalogue/browse", Importance: "browse", Idempotent: true, Public: true},
			{ID: "member.look", Service: "catalogue", Method: "GET", Prefix: "/catalogue/member", Importance: "lookup", Idempotent: true, Public: true},
			{ID: "roll.look", Service: "inventory", Method: "GET", Prefix: "/inventory/roll", Importance: "lookup", Idempotent: true, Public: true},
			{ID: "price.look", Service: "pricing", Method: "GET", Prefix: "/pricing/price", Importance: "lookup", Idempotent: true, Public: true},
			{ID: "piece.hold", Service: "reservations", Method: "POST", Prefix: "/reservations/hold", Importance: "critical", Public: true},
		},
		mix: []call{
			{Route: "catalogue.browse", Service: "catalogue", Method: "GET", Path: "/catalogue/browse?child=/inventory/roll&child=/pricing/price", Share: 0.5, Visits: []string{"catalogue", "inventory", "pricing"}},
			{Route: "member.look", Service: "catalogue", Method: "GET", Path: "/catalogue/member", Share: 0.1, Visits: []string{"catalogue"}},
			{Route: "roll.look", Service: "inventory", Method: "GET", Path: "/inventory/roll?child=/pricing/price", Share: 0.2, Visits: []string{"inventory", "pricing"}},
			{Route: "price.look", Service: "pricing", Method: "GET", Path: "/pricing/price", Share: 0.1, Visits: []string{"pricing"}},
			{Route: "piece.hold", Service: "reservations", Method: "POST", Path: "/reservations/hold?child=/inventory/roll&child=/pricing/price", Share: 0.1, Critical: true, Reserve: true, Visits: []string{"reservations", "inventory", "pricing"}},
		},
	},
}

// customerShares holds each of the eight customers' share of the load.
var customerShares = []float64{0.28, 0.22, 0.16, 0.1, 0.08, 0.06, 0.06, 0.04}

// capacity returns the request rate, in requests per second, at which the first service
// has all its slots in use.
func (s deploymentSpec) capacity() float64 {
	const microseconds = 1e6
	visits := map[string]float64{}
	for _, c := range s.mix {
		for _, name := range c.Visits {
			visits[name] += c.Share
		}
	}
	lowest := 0.0
	for _, svc := range s.services {
		// A call holds its slot during its child calls too.
		slotTime := s.meanSlotTimeUs(svc)
		rate := float64(svc.endpoints*svc.slots) / (slotTime * visits[svc.name] / microseconds)
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// meanSlotTimeUs returns the mean time, in microseconds, for which a call holds a slot of a
// service.
func (s deploymentSpec) meanSlotTimeUs(svc service) float64 {
	total, weight := 0.0, 0.0
	for _, c := range s.mix {
		for i, name := range c.Visits {
			if name != svc.name {
				continue
			}
			for _, below := range c.Visits[i:] {
				total += c.Share * float64(s.serviceTimeUs(below))
			}
			weight += c.Share
		}
	}
	return total / weight
}

func (s deploymentSpec) serviceTimeUs(name string) int {
	for _, svc := range s.services {
		if svc.name == name {
			return svc.timeUs
		}
	}
	return 0
}

// fleetCommand writes the settings of a deployment to a folder: the nodes' TOML files,
// the configuration for `wagtailyoke apply`, deployment.json for the load generator, and
// the command lines of all processes.
type fleetCommand struct {
	Deployment string  `long:"deployment" default:"tallapoosa" choice:"tallapoosa" choice:"exchange"`
	Dir        string  `long:"dir" required:"true"`
	Base       int     `long:"base" default:"20000" description:"first port"`
	Secret     string  `long:"secret" default:"demo-secret-of-the-fleet"`
	Contracts  float64 `long:"contracts" default:"1" description:"sum of the contracts' rates, in units of the capacity"`
	Bin        string  `long:"bin" default:"bin"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	d := c.deployment()
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	for _, e := range d.Endpoints {
		if err := c.writeFile(e.Name+".toml", c.nodeSettings(d, e)); err != nil {
			return err
		}
	}
	encoded, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return err
	}
	direct, err := json.Marshal(d.directAddresses())
	if err != nil {
		return err
	}
	for name, text := range map[string]string{
		"deployment.json": string(encoded),
		"direct.json":     string(direct),
		"fleet.toml":      c.fleetFile(d),
		"platform.cmd":    fmt.Sprintf("%s/standin platform --listen %s\n", c.Bin, strings.TrimPrefix(d.Platform, "http://")),
		"nodes.cmd":       c.nodeCommands(d),
		"upstreams.cmd":   c.upstreamCommands(d, false),
		"direct.cmd":      c.upstreamCommands(d, true),
	} {
		if err := c.writeFile(name, text); err != nil {
			return err
		}
	}
	return nil
}

func (c *fleetCommand) writeFile(name, text string) error {
	return os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o600)
}

func (c *fleetCommand) deployment() *deployment {
	s := deploymentSpecs[c.Deployment]
	d := &deployment{
		Name:     c.Deployment,
		Platform: fmt.Sprintf("http://127.0.0.1:%d", c.Base),
		Domains:  s.domains,
		Mix:      s.mix,
		Capacity: s.capacity(),
	}
	const portsPerEndpoint = 10
	port := c.Base + portsPerEndpoint
	for _, svc := range s.services {
		for i := range svc.endpoints {
			address := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
			domain := s.domains[i%len(s.domains)]
			d.Endpoints = append(d.Endpoints, endpoint{
				Name: fmt.Sprintf("%s-%s-%d", domain, svc.name, i+1), Domain: domain, Service: svc.name,
				Public: address(0), Egress: address(1), Peer: address(2), Ops: address(3), Upstream: address(4), Direct: address(5),
				Slots: svc.slots, Connections: svc.connections, TimeUs: svc.timeUs,
			})
			port += portsPerEndpoint
		}
	}
	for i, share := range customerShares {
		id := fmt.Sprintf("customer-%d", i+1)
		rate := d.Capacity * c.Contracts * share
		d.Customers = append(d.Customers, customer{ID: id, Key: id + "_demo_key", Share: share, Rate: rate, Burst: max(8, rate)})
	}
	return d
}

func (d *deployment) directAddresses() map[string][]string {
	all := map[string][]string{}
	for _, e := range d.Endpoints {
		all[e.Service] = append(all[e.Service], e.Direct)
	}
	return all
}

// seeds returns the peer address of one node in each failure domain.
func (d *deployment) seeds() []string {
	var seeds []string
	for i := range d.Domains {
		seeds = append(seeds, d.Endpoints[i].Peer)
	}
	return seeds
}

func (c *fleetCommand) nodeSettings(d *deployment, e endpoint) string {
	return fmt.Sprintf(`[node]
name = %q
domain = %q
service = %q

[listen]
public = %q
egress = %q
peer = %q
ops = %q

[upstream]
address = %q

[platform]
url = %q

[fleet]
secret = %q
seeds = [%s]
`, e.Name, e.Domain, e.Service, e.Public, e.Egress, e.Peer, e.Ops, e.Upstream, d.Platform, c.Secret, quoteAll(d.seeds()))
}

// fleetFile returns the configuration that an operator applies.
func (c *fleetCommand) fleetFile(d *deployment) string {
	var b strings.Builder
	fmt.Fprintf(&b, "domains = [%s]\n", quoteAll(d.Domains))
	for _, r := range deploymentSpecs[c.Deployment].routes {
		fmt.Fprintf(&b, "\n[[routes]]\nid = %q\nservice = %q\nmethod = %q\nprefix = %q\nimportance = %q\nidempotent = %v\npublic = %v\ntimeoutMs = %d\n",
			r.ID, r.Service, r.Method, r.Prefix, r.Importance, r.Idempotent, r.Public, callTimeout.Milliseconds())
	}
	for _, cu := range d.Customers {
		fmt.Fprintf(&b, "\n[[customers]]\nid = %q\nrate = %.3f\nburst = %.3f\n[[customers.keys]]\nlabel = \"demo\"\ndigest = %q\n",
			cu.ID, cu.Rate, cu.Burst, intent.Digest(cu.Key))
	}
	return b.String()
}

func quoteAll(names []string) string {
	quoted := make([]string, 0, len(names))
	for _, n := range names {
		quoted = append(quoted, fmt.Sprintf("%q", n))
	}
	return strings.Join(quoted, ", ")
}

func (c *fleetCommand) nodeCommands(d *deployment) string {
	var b strings.Builder
	for _, e := range d.Endpoints {
		fmt.Fprintf(&b, "%s/wagtailyoke node --config %s/%s.toml\n", c.Bin, c.Dir, e.Name)
	}
	return b.String()
}

func (c *fleetCommand) upstreamCommands(d *deployment, direct bool) string {
	var b strings.Builder
	for i, e := range d.Endpoints {
		wiring := fmt.Sprintf("--listen %s --ops %s --egress %s --secret %s", e.Upstream, e.Ops, e.Egress, c.Secret)
		if direct {
			wiring = fmt.Sprintf("--listen %s --direct %s/direct.json", e.Direct, c.Dir)
		}
		fmt.Fprintf(&b, "%s/standin upstream %s --service %s --slots %d --queue %d --time-us %d --seed %d\n",
			c.Bin, wiring, e.Service, e.Slots, e.Connections-e.Slots, e.TimeUs, i+1)
	}
	return b.String()
}
