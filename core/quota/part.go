// Package quota keeps each customer inside its rate and burst over the whole
// fleet, without asking anyone for most calls.
//
// A contract is split over failure domains. The leader of a failure domain keeps
// a Ledger: it earns the domain's part of the rate, and grants tokens to nodes
// ahead of demand. A node keeps a Stock of granted tokens. Tokens that are
// granted but not yet reported as spent count against the burst, so the number
// of tokens that exist anywhere never exceeds it. Leaders lend each other tokens
// (Loan), and a node that hears from no leader earns a share of its own (Floor).
//
// # Usage
//
//	gate := quota.NewGate(clock, wait, askForTokens)
//	gate.Take(customer, func(admitted bool) { ... })
//
// Counters between grantor and grantee are cumulative, so lost, repeated and
// reordered messages do no harm.
package quota

import (
	"hash/fnv"
	"sort"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/world"
)

// Micro is a millionth of a token.
type Micro int64

// Token is one request's worth of Micro.
const Token Micro = 1_000_000

// minBurstPart is the smallest burst, in requests, worth giving to one failure domain.
const minBurstPart = 4

// Part is one failure domain's share of a contract.
type Part struct {
	// Rate is in Micro per second.
	Rate  Micro
	Burst Micro
}

// PartOf returns the part of a contract that a failure domain earns. A small
// burst is split over fewer domains, so that each part can hold whole tokens.
func PartOf(c intent.Contract, customer world.CustomerID, domain world.DomainID, domains []world.DomainID) Part {
	chosen := choose(customer, domains, shareCount(c, len(domains)))
	for _, d := range chosen {
		if d == domain {
			n := Micro(len(chosen))
			return Part{Rate: Micro(c.Rate*float64(Token)) / n, Burst: Micro(c.Burst*float64(Token)) / n}
		}
	}
	return Part{}
}

func shareCount(c intent.Contract, domains int) int {
	n := int(c.Burst / minBurstPart)
	if n < 1 {
		n = 1
	}
	if n > domains {
		n = domains
	}
	return n
}

// choose returns n domains by rendezvous hashing.
func choose(customer world.CustomerID, domains []world.DomainID, n int) []world.DomainID {
	if n >= len(domains) {
		return domains
	}
	ranked := append([]world.DomainID(nil), domains...)
	sort.Slice(ranked, func(i, j int) bool {
		return rendezvous(string(customer), string(ranked[i])) > rendezvous(string(customer), string(ranked[j]))
	})
	return ranked[:n]
}

// HomeDomain returns the failure domain that keeps the records of a key.
func HomeDomain(customer world.CustomerID, route world.RouteID, key string, domains []world.DomainID) world.DomainID {
	var best world.DomainID
	var bestScore uint64
	for _, d := range domains {
		score := rendezvous(string(customer)+"\x00"+string(route)+"\x00"+key, string(d))
		if best == "" || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

func rendezvous(key, member string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix spreads the low bits of an FNV hash: without it, member names that differ
// in their last byte rank the same for most keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
