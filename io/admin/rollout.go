package admin

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/node"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// domainRollout is the progress of a configuration version in one failure domain.
type domainRollout struct {
	Domain string `json:"domain"`
	// Nodes is the number of announced nodes; Updated of them have the version.
	Nodes   int `json:"nodes"`
	Updated int `json:"have"`
	// Seconds is the time until the last updated node had the version.
	Seconds float64 `json:"seconds"`
	// Missing lists the nodes that do not answer or have an older version.
	Missing []string `json:"missing,omitempty"`
}

// Timing of the wait until a version is in force.
const (
	rolloutTimeout      = 5 * time.Second
	rolloutPollInterval = 200 * time.Millisecond
)

type confirmCommand struct {
	Args struct {
		Plan string `positional-arg-name:"PLAN" required:"true"`
	} `positional-args:"true"`
	NoWait bool `long:"no-wait" description:"do not wait until the version is in force"`
	app    *app
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	f := c.app.fleet()
	out, err := f.confirm(c.app.ctx, c.Args.Plan)
	if err != nil {
		return err
	}
	made := "Confirmed"
	if out.Already {
		made = "It had already happened"
	}
	if !c.app.options.JSON {
		c.app.print("%s: version %d. %s", made, out.Version, out.Plan.Summary())
	}
	if c.NoWait {
		return nil
	}
	return c.awaitRollout(f, out)
}

func (c *confirmCommand) awaitRollout(f *fleetClient, out *confirmResult) error {
	domains, err := f.awaitVersion(c.app.ctx, out.Version)
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		err := c.app.printJSON(struct {
			*confirmResult
			Domains []domainRollout `json:"domains"`
		}{out, domains})
		if err != nil {
			return err
		}
	}
	missing := 0
	for _, d := range domains {
		missing += len(d.Missing)
		if !c.app.options.JSON {
			c.app.print("  %-20s in force at %d of %d nodes after %.1f s %s", d.Domain, d.Updated, d.Nodes, d.Seconds, missingText(d.Missing))
		}
	}
	if missing > 0 {
		return errors.Wrapf(ErrPartial, "%d nodes are missing; they take it over once they can be reached", missing)
	}
	return nil
}

func missingText(missing []string) string {
	if len(missing) == 0 {
		return ""
	}
	text := "; not at"
	for _, name := range missing {
		text += " " + name
	}
	return text
}

// awaitVersion waits until all announced nodes have the version or rolloutTimeout passes.
func (f *fleetClient) awaitVersion(ctx context.Context, version world.ConfigVersion) ([]domainRollout, error) {
	nodes, err := f.nodes(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	updatedAt := map[string]time.Duration{}
	for {
		statuses := f.statuses(ctx, nodes)
		domains, missing := rolloutProgress(nodes, statuses, version, updatedAt, time.Since(start))
		if missing == 0 || time.Since(start) > rolloutTimeout || ctx.Err() != nil {
			return domains, nil
		}
		time.Sleep(rolloutPollInterval)
	}
}

// rolloutProgress returns the progress per failure domain and the number of missing nodes.
// It records in updatedAt when each node was first seen with the version.
func rolloutProgress(nodes []*wire.NodeInfo, statuses map[string]*node.Status, version world.ConfigVersion, updatedAt map[string]time.Duration, elapsed time.Duration) ([]domainRollout, int) {
	byDomain := map[string]*domainRollout{}
	missing := 0
	for _, info := range nodes {
		d := byDomain[info.GetDomain()]
		if d == nil {
			d = &domainRollout{Domain: info.GetDomain()}
			byDomain[info.GetDomain()] = d
		}
		d.Nodes++
		s := statuses[info.GetName()]
		if s == nil || s.ConfigVersion < version {
			d.Missing = append(d.Missing, info.GetName())
			missing++
			continue
		}
		if _, ok := updatedAt[info.GetName()]; !ok {
			updatedAt[info.GetName()] = elapsed
		}
		d.Updated++
		d.Seconds = max(d.Seconds, updatedAt[info.GetName()].Seconds())
	}
	all := make([]domainRollout, 0, len(byDomain))
	for _, d := range byDomain {
		all = append(all, *d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Domain < all[j].Domain })
	return all, missing
}

type statusCommand struct {
	app *app
}

// fleetStatus is the output of `status`.
type fleetStatus struct {
	Version  world.ConfigVersion     `json:"version"`
	Domains  []domainStatus          `json:"domains"`
	Problems []problem               `json:"problems"`
	Nodes    map[string]*node.Status `json:"nodes"`
}

type domainStatus struct {
	Domain string `json:"domain"`
	Leader string `json:"leader"`
	Nodes  int    `json:"nodes"`
	Ready  int    `json:"ready"`
}

// problem describes a current fault, its effect, and what the system and the operator do.
type problem struct {
	What     string `json:"what"`
	Affected string `json:"affected"`
	System   string `json:"system"`
	Operator string `json:"operator"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	f := c.app.fleet()
	s, err := f.readStatus(c.app.ctx)
	if err != nil {
		return err
	}
	if c.app.options.JSON {
		return c.app.printJSON(s)
	}
	c.app.print("Configuration version %v", versionName(s.Version))
	for _, d := range s.Domains {
		c.app.print("  %-20s %d of %d nodes ready, leader %s", d.Domain, d.Ready, d.Nodes, d.Leader)
	}
	if len(s.Problems) == 0 {
		c.app.print("Nothing is wrong.")
	}
	for _, p := range s.Problems {
		c.app.print("\n%s", p.What)
		c.app.print("  affected: %s", p.Affected)
		c.app.print("  the system: %s", p.System)
		c.app.print("  you: %s", p.Operator)
	}
	return nil
}

func (f *fleetClient) readStatus(ctx context.Context) (*fleetStatus, error) {
	cfg, err := f.config(ctx)
	if err != nil {
		return nil, err
	}
	nodes, err := f.nodes(ctx)
	if err != nil {
		return nil, err
	}
	s := &fleetStatus{Version: cfg.Version, Nodes: f.statuses(ctx, nodes)}
	s.summarise(cfg, nodes)
	return s, nil
}

func (s *fleetStatus) summarise(cfg *intent.Config, nodes []*wire.NodeInfo) {
	byDomain := map[string]*domainStatus{}
	for _, d := range cfg.Domains {
		byDomain[string(d)] = &domainStatus{Domain: string(d), Leader: "none"}
	}
	for _, info := range nodes {
		d := byDomain[info.GetDomain()]
		if d == nil {
			d = &domainStatus{Domain: info.GetDomain(), Leader: "none"}
			byDomain[info.GetDomain()] = d
			s.Problems = append(s.Problems, unlistedDomainProblem(info.GetDomain()))
		}
		d.Nodes++
		status := s.Nodes[info.GetName()]
		if status == nil {
			s.Problems = append(s.Problems, unreachableNodeProblem(info.GetName()))
			continue
		}
		s.Problems = append(s.Problems, nodeProblems(cfg, status)...)
		if status.State == "ready" {
			d.Ready++
		}
		if status.IsLeader {
			d.Leader = info.GetName()
		}
	}
	for _, d := range byDomain {
		s.Domains = append(s.Domains, *d)
		if d.Leader == "none" {
			s.Problems = append(s.Problems, noLeaderProblem(d.Domain))
		}
	}
	sort.Slice(s.Domains, func(i, j int) bool { return s.Domains[i].Domain < s.Domains[j].Domain })
	sort.Slice(s.Problems, func(i, j int) bool { return s.Problems[i].What < s.Problems[j].What })
}

func unlistedDomainProblem(domain string) problem {
	return problem{
		What:     "Nodes run in failure domain " + domain + ", which the configuration does not list.",
		Affected: "rates there: the domain has no part of any contract of its own",
		System:   "serves there with tokens lent by other failure domains",
		Operator: "correct node.domain in the settings of its nodes",
	}
}

func unreachableNodeProblem(name string) problem {
	return problem{
		What:     "Node " + name + " does not answer.",
		Affected: "calls in flight there; new calls go to other endpoints",
		System:   "leaves the endpoint out until its node is back",
		Operator: "replace the VM if it stays away; nothing is lost with it",
	}
}

func noLeaderProblem(domain string) problem {
	return problem{
		What:     "Failure domain " + domain + " has no leader that this command can reach.",
		Affected: "calls with an idempotency key whose home is " + domain + " are refused with `run: no`",
		System:   "its nodes elect a leader through the platform within about 5 s of the last one's end",
		Operator: "check that the platform answers and that nodes run there",
	}
}

// overloadLevel is the admission level from which lookups are shed.
const overloadLevel = float64(world.ImportanceLookup)

func nodeProblems(cfg *intent.Config, s *node.Status) []problem {
	var found []problem
	if s.ConfigVersion < cfg.Version {
		found = append(found, problem{
			What:     "Node " + string(s.Node) + " is behind the newest configuration.",
			Affected: "changes of keys, rates and routes there",
			System:   "the node fetches the version with its next heartbeat",
			Operator: "if this stays, check the network between the node and its leader",
		})
	}
	if s.Level >= overloadLevel {
		found = append(found, problem{
			What:     "Node " + string(s.Node) + " (service " + string(s.Service) + ") is overloaded.",
			Affected: "lookups and less important calls to this service are refused",
			System:   "sheds the least important calls first and tells entry nodes to refuse them early",
			Operator: "add endpoints to service " + string(s.Service) + " if this lasts",
		})
	}
	if s.Suspects > 0 && s.IsLeader {
		found = append(found, problem{
			What:     "Requests in failure domain " + string(s.Domain) + " are suspected of crashing upstreams.",
			Affected: "the callers of these requests",
			System:   "runs them alone, and refuses them after the second crash",
			Operator: "look for event 113 in the logs, and mend the service",
		})
	}
	if s.Violations > 0 {
		found = append(found, problem{
			What:     "Node " + string(s.Node) + " saw a broken invariant.",
			Affected: "see the events from 900 in its log",
			System:   "goes on",
			Operator: "report it to the developers with the log",
		})
	}
	return found
}

type doctorCommand struct {
	Config string `long:"config" description:"settings file of a node to check"`
	app    *app
}
