package node_test

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"wagtailyoke/core/node"
	"wagtailyoke/core/world"
)

// audit records the events of a run and checks them against the guarantees.
type audit struct {
	f     *fleet
	codes map[world.Code]int
	// meters holds a token bucket per customer, with the largest contract in force.
	meters map[world.CustomerID]*meter
	// runs counts the executions in all upstreams, per request ID and route.
	runs map[string]int
	// keyed counts the executions per customer, route and idempotency key.
	keyed map[string]int
	// owners holds the customer whose key was sent with a request.
	owners  map[world.RequestID]world.CustomerID
	answers map[string]string
	notRun  []*sent
	ended   int
	good    int
	refused int
}

type meter struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// sent is one request of a caller, with its reply.
type sent struct {
	id       world.RequestID
	customer world.CustomerID
	route    string
	key      string
	reply    *world.Reply
	at       time.Duration
}

func newAudit(f *fleet) *audit {
	return &audit{
		f:       f,
		codes:   map[world.Code]int{},
		meters:  map[world.CustomerID]*meter{},
		runs:    map[string]int{},
		keyed:   map[string]int{},
		owners:  map[world.RequestID]world.CustomerID{},
		answers: map[string]string{},
	}
}

func (m *meter) refill(now time.Duration) {
	m.tokens = min(m.burst, m.tokens+m.rate*(now-m.at).Seconds())
	m.at = now
}

// admitted checks that no window of length t admits more than rate*t+burst. A bucket that
// starts full and is never overdrawn is equivalent.
func (a *audit) admitted(c world.CustomerID) {
	m := a.meters[c]
	if m == nil {
		return
	}
	m.refill(a.f.clock.Now())
	m.tokens--
	const rounding = 0.01
	if m.tokens < -rounding {
		a.f.fail("customer %s got more than its rate and burst: %.3f over", c, -m.tokens)
		m.tokens = 0
	}
}

func (a *audit) setContract(c world.CustomerID, rate, burst float64) {
	a.meters[c] = &meter{rate: rate, burst: burst, tokens: burst, at: a.f.clock.Now()}
}

func (a *audit) checkKeyHidden(where string, c *world.Call) {
	if c.Header.Get(node.HeaderKey) != "" || c.Header.Get(node.HeaderAuthorization) != "" {
		a.f.fail("%s received the API key of request %s", where, c.ID)
	}
}

func (a *audit) sawOnWire(c *world.Call) { a.checkKeyHidden("a peer", c) }

// ran checks the guarantees that hold at the start of every execution in an upstream.
func (a *audit) ran(u *upstream, c *world.Call) {
	a.f.note("%s runs %s %s", u.v.info.Name, c.ID, c.Route)
	a.checkKeyHidden(string(u.v.info.Name), c)
	a.runs[string(c.ID)+" "+string(c.Route)]++
	if owner, ok := a.owners[c.ID]; ok && owner != c.Customer {
		a.f.fail("request %s of %s ran for %s", c.ID, owner, c.Customer)
	}
	if c.Key != "" {
		id := fmt.Sprintf("%s %s %s", c.Customer, c.Route, c.Key)
		a.keyed[id]++
		if a.keyed[id] > 1 {
			a.f.fail("key %s ran %d times", id, a.keyed[id])
		}
	}
	if u.leavingAt > 0 && a.f.clock.Now() > u.leavingAt {
		u.late++
	}
	const leavingLimit = 3 * time.Second
	if u.leavingAt > 0 && a.f.clock.Now()-u.leavingAt > leavingLimit {
		a.f.fail("%s got a call %v after it reported that it drains", u.v.info.Name, a.f.clock.Now()-u.leavingAt)
	}
}

// answered checks a caller's answer.
func (a *audit) answered(s *sent) {
	r := s.reply
	if s.customer != greedy {
		a.ended++
	}
	a.f.note("answer %s %d %s %v", s.id, r.Status, r.Code, r.Run)
	if r.IsRefusal() {
		a.refused++
		if r.Run == world.RunNo {
			a.notRun = append(a.notRun, s)
		}
		return
	}
	if r.Status != http.StatusOK {
		return
	}
	if s.customer != greedy {
		a.good++
	}
	parts := strings.Split(string(r.Body), "|")
	if len(parts) != 3 || world.CustomerID(parts[1]) != s.customer || parts[2] != s.key {
		a.f.fail("request %s got an answer to another request: %q", s.id, r.Body)
		return
	}
	if s.key == "" {
		if parts[0] != string(s.id) {
			a.f.fail("request %s got the answer of %s", s.id, parts[0])
		}
		return
	}
	id := string(s.customer) + s.route + s.key
	if earlier, ok := a.answers[id]; ok && earlier != string(r.Body) {
		a.f.fail("key %s got two answers: %q and %q", s.key, earlier, r.Body)
	}
	a.answers[id] = string(r.Body)
}

// finish checks the guarantees that need the complete run.
func (a *audit) finish(routes map[string]string, budget int) {
	for _, s := range a.notRun {
		if n := a.runs[string(s.id)+" "+s.route]; n > 0 {
			a.f.fail("request %s was refused as not run (%s), but ran %d times", s.id, s.reply.Code, n)
		}
	}
	a.checkBudgets(routes, budget)
}

// checkBudgets checks the number of repeated executions in the call tree of each request:
// all beyond one per route.
func (a *audit) checkBudgets(routes map[string]string, budget int) {
	extra := map[string]int{}
	for id, n := range a.runs {
		request, _, _ := strings.Cut(id, " ")
		extra[request] += n - 1
	}
	requests := make([]string, 0, len(extra))
	for request := range extra {
		requests = append(requests, request)
	}
	sort.Strings(requests)
	for _, request := range requests {
		// A retry of a call repeats its child calls too, at most as many as the
		// call graph is deep.
		if extra[request] > budget*len(routes) {
			a.f.fail("request %s was repeated %d times", request, extra[request])
		}
	}
}
