package admin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
	"wagtailyoke/platform"
	"wagtailyoke/platform/stand"
)

// testPlatform serves the object API and can drop the answers to writes.
type testPlatform struct {
	objects       *stand.Store
	url           string
	answersToDrop atomic.Int64
}

func newTestPlatform(c *qt.C) (*testPlatform, string) {
	p := &testPlatform{objects: stand.New(stand.Limits{})}
	api := p.objects
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && strings.Contains(r.URL.Path, "wagtailyoke-config") && p.answersToDrop.Add(-1) >= 0 {
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	c.Cleanup(server.Close)
	p.url = server.URL
	return p, server.URL
}

// run runs the program with args and returns its exit code and output.
func run(url string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(append([]string{"--platform", url}, args...), &o, &e)
	return code, o.String(), e.String()
}

func planID(c *qt.C, out string) string {
	_, rest, ok := strings.Cut(out, "wagtailyoke confirm ")
	c.Assert(ok, qt.IsTrue, qt.Commentf("%s", out))
	return strings.TrimSpace(rest)
}

func TestLostConfirmAnswer(t *testing.T) {
	c := qt.New(t)
	p, url := newTestPlatform(c)
	code, out, _ := run(url, "customer", "set", "mill-7", "--rate", "40", "--burst", "80")
	c.Assert(code, qt.Equals, exitOK)
	p.answersToDrop.Store(1)
	code, confirmed, errOut := run(url, "confirm", planID(c, out))
	c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	c.Assert(confirmed, qt.Contains, "Confirmed: version 1")
	_, again, _ := run(url, "confirm", planID(c, out))
	c.Assert(again, qt.Contains, "It had already happened: version 1")
	o, err := platform.NewKeys(p.url, platformTimeout).GetNow(context.Background(), intent.ObjectKey)
	c.Assert(err, qt.IsNil)
	c.Assert(o.Version, qt.Equals, uint64(1))
}

// TestConcurrentConfirms checks that exactly one of several plans confirmed concurrently
// wins, and that the errors of the others name the winning change.
func TestConcurrentConfirms(t *testing.T) {
	c := qt.New(t)
	p, url := newTestPlatform(c)
	f := newFleetClient(&options{Platform: url})
	const racers = 8
	plans := make([]*intent.Plan, racers)
	for i := range plans {
		var err error
		plans[i], err = f.propose(context.Background(), []intent.Intent{{
			Kind: intent.KindCustomerSet, Customer: "c", Contract: intent.Contract{Rate: float64(i + 1), Burst: 5},
		}})
		c.Assert(err, qt.IsNil)
	}
	p.answersToDrop.Store(1)
	var wins, voids atomic.Int64
	var done sync.WaitGroup
	for _, plan := range plans {
		done.Add(1)
		go func() {
			defer done.Done()
			_, err := f.confirm(context.Background(), plan.ID)
			if err == nil {
				wins.Add(1)
				return
			}
			if errors.Is(err, intent.ErrPlanOutdated) && strings.Contains(err.Error(), "customer c gets") {
				voids.Add(1)
			}
		}()
	}
	done.Wait()
	c.Assert(wins.Load(), qt.Equals, int64(1))
	c.Assert(voids.Load(), qt.Equals, int64(racers-1))
}

func TestKeyGrantWithdrawUndo(t *testing.T) {
	c := qt.New(t)
	p, url := newTestPlatform(c)
	_, out, _ := run(url, "customer", "set", "mill-7", "--rate", "40", "--burst", "80")
	run(url, "confirm", planID(c, out))
	_, out, _ = run(url, "key", "grant", "mill-7", "--label", "office")
	_, rest, _ := strings.Cut(out, "digest): ")
	key, _, _ := strings.Cut(rest, "\n")
	run(url, "confirm", planID(c, out))
	o, err := platform.NewKeys(p.url, platformTimeout).GetNow(context.Background(), intent.ObjectKey)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(o.Value), key), qt.IsFalse)
	cfg, err := intent.Decode(world.ConfigVersion(o.Version), o.Value)
	c.Assert(err, qt.IsNil)
	customer, ok := cfg.CustomerOfKey(intent.Digest(key))
	c.Assert(ok, qt.IsTrue)
	c.Assert(customer.ID, qt.Equals, world.CustomerID("mill-7"))
	_, out, _ = run(url, "key", "withdraw", "mill-7", "--label", "office")
	c.Assert(out, qt.Contains, "this is the last key of customer mill-7")
	run(url, "confirm", planID(c, out))
	_, history, _ := run(url, "history")
	c.Assert(strings.Count(history, "\n"), qt.Equals, 3)
	change := strings.Fields(strings.Split(strings.TrimSpace(history), "\n")[2])[3]
	_, out, _ = run(url, "undo", change)
	c.Assert(out, qt.Contains, `customer mill-7 gets a key labelled "office"`)
}

// expectUsage runs an invalid command and expects exit code 2 and wanted in the error output.
func expectUsage(t *testing.T, url, wanted string, args ...string) {
	t.Helper()
	code, _, errOut := run(url, args...)
	if code != exitUsage || !strings.Contains(errOut, wanted) {
		t.Errorf("%v: exit %d, %q; wanted %q", args, code, errOut, wanted)
	}
}

func TestWrongCommands(t *testing.T) {
	c := qt.New(t)
	_, url := newTestPlatform(c)
	expectUsage(t, url, "rate 0 must be above 0", "customer", "set", "x", "--rate", "0", "--burst", "5")
	expectUsage(t, url, `customer "nobody"`, "key", "grant", "nobody", "--label", "x")
	expectUsage(t, url, "importance", "route", "set", "r", "--service", "s", "--prefix", "/r", "--importance", "urgent")
	expectUsage(t, url, "does not start with /", "route", "set", "r", "--service", "s", "--prefix", "r", "--importance", "browse")
	expectUsage(t, url, "plan \"none\"", "confirm", "none")
	expectUsage(t, url, "change \"none\"", "undo", "none")
	expectUsage(t, url, "CUSTOMER", "customer", "set", "--rate", "1", "--burst", "1")
	expectUsage(t, url, "no such file", "apply", "none.toml")
	expectUsage(t, url, "Unknown command", "custommer")
}

func TestDomainsAreSetOnce(t *testing.T) {
	c := qt.New(t)
	_, url := newTestPlatform(c)
	_, out, _ := run(url, "domain", "set", "a", "b")
	run(url, "confirm", planID(c, out))
	expectUsage(t, url, "cannot be changed while the fleet runs", "domain", "set", "a", "b", "c")
}
