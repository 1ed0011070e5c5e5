// Package quota enforces each customer's rate and burst limits across the whole
// fleet, without a remote call for most requests.
//
// A contract is split over the failure domains. The leader of a failure domain has a
// Ledger: it refills a token pool per customer at the domain's part of the rate, and
// grants tokens to nodes ahead of demand. A node holds granted tokens in a
// LocalTokens. Tokens that are granted but not yet reported as spent count against
// the burst, so the number of existing tokens never exceeds the burst. Leaders lend
// each other tokens (BorrowedTokens). A node that gets no reply from any leader
// admits calls at a reserved part of the rate (ReservedShare).
//
// # Usage
//
//	gate := quota.NewGate(clock, maxWait, requestTokens, fallback)
//	gate.Admit(customer, func(admitted bool) { ... })
//
// Counters between grantor and grantee are cumulative, so lost, duplicated and
// reordered messages cannot create or destroy tokens.
package quota

import (
	"hash/fnv"
	"sort"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
)

// Micro is an amount of tokens in millionths of a token.
type Micro int64

// Token is the amount that one request costs.
const Token Micro = 1_000_000

// minDomainBurst is the smallest burst, in requests, that is assigned to one failure
// domain.
const minDomainBurst = 4

// Limit is the part of a contract that is assigned to one failure domain.
type Limit struct {
	// Rate is per second.
	Rate  Micro
	Burst Micro
}

// DomainLimit returns the part of a contract that a failure domain may grant. A small
// burst is split over fewer domains, so that each part can hold complete tokens.
func DomainLimit(c intent.Contract, customer world.CustomerID, domain world.DomainID, domains []world.DomainID) Limit {
	assigned := chooseDomains(customer, domains, domainCount(c, len(domains)))
	for _, d := range assigned {
		if d == domain {
			n := Micro(len(assigned))
			return Limit{Rate: Micro(c.Rate*float64(Token)) / n, Burst: Micro(c.Burst*float64(Token)) / n}
		}
	}
	return Limit{}
}

func domainCount(c intent.Contract, domains int) int {
	n := int(c.Burst / minDomainBurst)
	if n < 1 {
		n = 1
	}
	if n > domains {
		n = domains
	}
	return n
}

// chooseDomains returns n domains by rendezvous hashing.
func chooseDomains(customer world.CustomerID, domains []world.DomainID, n int) []world.DomainID {
	if n >= len(domains) {
		return domains
	}
	ranked := append([]world.DomainID(nil), domains...)
	sort.Slice(ranked, func(i, j int) bool {
		return rendezvousScore(string(customer), string(ranked[i])) > rendezvousScore(string(customer), string(ranked[j]))
	})
	return ranked[:n]
}

// HomeDomain returns the failure domain that stores the idempotency records of a key.
func HomeDomain(customer world.CustomerID, route world.RouteID, key string, domains []world.DomainID) world.DomainID {
	var home world.DomainID
	var bestScore uint64
	for _, d := range domains {
		score := rendezvousScore(string(customer)+"\x00"+string(route)+"\x00"+key, string(d))
		if home == "" || score > bestScore {
			home, bestScore = d, score
		}
	}
	return home
}

func rendezvousScore(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix is a finalizer for FNV hashes. Without it, member names that differ only in
// their last byte rank the same for most keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
