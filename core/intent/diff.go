package intent

import "wagtailyoke/core/world"

// Diff returns the intents that change the current configuration into the wanted
// one. It ignores versions and history.
func Diff(current, wanted *Config) []Intent {
	var intents []Intent
	if len(wanted.Domains) > 0 && !sameDomains(current.Domains, wanted.Domains) {
		intents = append(intents, Intent{Kind: KindDomainsSet, Domains: wanted.Domains})
	}
	if wanted.Limits != current.Limits {
		intents = append(intents, Intent{Kind: KindLimitsSet, Limits: wanted.Limits})
	}
	intents = append(intents, diffRoutes(current, wanted)...)
	return append(intents, diffCustomers(current, wanted)...)
}

func sameDomains(a, b []world.DomainID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func diffRoutes(current, wanted *Config) []Intent {
	var intents []Intent
	for _, r := range wanted.Routes {
		if old, ok := current.Route(r.ID); !ok || *old != r {
			intents = append(intents, Intent{Kind: KindRouteSet, Route: r})
		}
	}
	for _, r := range current.Routes {
		if _, ok := wanted.Route(r.ID); !ok {
			intents = append(intents, Intent{Kind: KindRouteRemove, Route: r})
		}
	}
	return intents
}

func diffCustomers(current, wanted *Config) []Intent {
	var intents []Intent
	for _, c := range wanted.Customers {
		old, ok := current.Customer(c.ID)
		if !ok || old.Contract != c.Contract {
			intents = append(intents, Intent{Kind: KindCustomerSet, Customer: c.ID, Contract: c.Contract})
		}
		if !ok {
			old = &Customer{}
		}
		intents = append(intents, diffKeys(c.ID, old.Keys, c.Keys)...)
	}
	for _, c := range current.Customers {
		if _, ok := wanted.Customer(c.ID); !ok {
			intents = append(intents, Intent{Kind: KindCustomerRemove, Customer: c.ID})
		}
	}
	return intents
}

func diffKeys(customer world.CustomerID, current, wanted []Key) []Intent {
	var intents []Intent
	for _, k := range current {
		if !hasKey(wanted, k) {
			intents = append(intents, Intent{Kind: KindKeyWithdraw, Customer: customer, Key: k})
		}
	}
	for _, k := range wanted {
		if !hasKey(current, k) {
			intents = append(intents, Intent{Kind: KindKeyGrant, Customer: customer, Key: k})
		}
	}
	return intents
}

func hasKey(keys []Key, key Key) bool {
	for _, k := range keys {
		if k == key {
			return true
		}
	}
	return false
}
