package intent_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
)

// generateIntent generates a random intent. Few distinct names are used, to make it often
// valid for a small configuration.
func generateIntent(rt *rapid.T) intent.Intent {
	name := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(rt, "name"))
	label := fmt.Sprintf("l%d", rapid.IntRange(0, 2).Draw(rt, "label"))
	kinds := []intent.Kind{
		intent.KindCustomerSet, intent.KindCustomerRemove, intent.KindKeyGrant, intent.KindKeyWithdraw,
		intent.KindRouteSet, intent.KindRouteRemove, intent.KindLimitsSet,
	}
	limits := intent.Empty().Limits
	limits.RetryBudget = rapid.IntRange(0, 4).Draw(rt, "budget")
	return intent.Intent{
		Kind:     rapid.SampledFrom(kinds).Draw(rt, "kind"),
		Customer: world.CustomerID(name),
		Contract: intent.Contract{Rate: rapid.Float64Range(1, 100).Draw(rt, "rate"), Burst: rapid.Float64Range(1, 100).Draw(rt, "burst")},
		Key:      intent.Key{Label: label, Digest: intent.Digest(name + label)},
		Route:    intent.Route{ID: world.RouteID(name), Service: "s", Prefix: "/" + name, Importance: "browse", Idempotent: rapid.Bool().Draw(rt, "idempotent")},
		Limits:   limits,
	}
}

// TestInverseRestoresConfig checks that applying the inverse of any intents restores the
// same customers, keys, routes and limits, regardless of order.
func TestInverseRestoresConfig(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := intent.Empty()
		for range rapid.IntRange(0, 8).Draw(rt, "before") {
			if next, _, err := intent.Apply(start, []intent.Intent{generateIntent(rt)}); err == nil {
				start = next
			}
		}
		changed, effect, err := intent.Apply(start, []intent.Intent{generateIntent(rt), generateIntent(rt)})
		if err != nil {
			return
		}
		restored, _, err := intent.Apply(changed, effect.Inverse)
		if err != nil {
			rt.Fatalf("applying the inverse: %v", err)
		}
		if remaining := intent.Diff(start, restored); len(remaining) > 0 {
			rt.Fatalf("differences after applying the inverse: %+v", remaining)
		}
	})
}

func TestMatch(t *testing.T) {
	cfg, _, err := intent.Apply(intent.Empty(), []intent.Intent{
		{Kind: intent.KindRouteSet, Route: intent.Route{ID: "all", Service: "s", Prefix: "/lots", Importance: "browse"}},
		{Kind: intent.KindRouteSet, Route: intent.Route{ID: "one", Service: "s", Method: "POST", Prefix: "/lots/7", Importance: "critical"}},
	})
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	expectRoute := func(method, path, wanted string) {
		t.Helper()
		got := world.RouteID("")
		if r, ok := cfg.Match(method, path); ok {
			got = r.ID
		}
		if string(got) != wanted {
			t.Errorf("%s %s: got route %q, want %q", method, path, got, wanted)
		}
	}
	expectRoute("GET", "/lots", "all")
	expectRoute("GET", "/lots/7", "all")
	expectRoute("POST", "/lots/7", "one")
	expectRoute("POST", "/lots/77", "all")
	expectRoute("GET", "/lotsale", "")
}

func FuzzDecode(f *testing.F) {
	value, err := intent.Empty().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"customers":[{"id":"c","contract":{"rate":-1,"burst":1}}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		cfg, err := intent.Decode(1, value)
		if err != nil {
			return
		}
		again, err := cfg.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := intent.Decode(1, again); err != nil {
			t.Fatalf("decoding a re-encoded configuration: %v", err)
		}
	})
}
