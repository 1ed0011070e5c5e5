// Package shard provides a map whose entries are spread over shards, each under
// its own lock, so that unrelated keys do not wait for each other.
//
// # Usage
//
//	m := shard.New[world.CustomerID, *account]()
//	m.With(customer, func(entries map[world.CustomerID]*account) { ... })
package shard

import (
	"hash/maphash"
	"sync"
)

const shardCount = 16

// Map is a sharded map.
type Map[K ~string, V any] struct {
	seed   maphash.Seed
	shards [shardCount]part[K, V]
}

type part[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// New returns an empty map.
func New[K ~string, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].entries = map[K]V{}
	}
	return m
}

// With calls f with the entries of the key's shard, under the shard's lock.
func (m *Map[K, V]) With(key K, f func(entries map[K]V)) {
	p := &m.shards[maphash.String(m.seed, string(key))%shardCount]
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.entries)
}

// Each calls f for each shard in turn, under that shard's lock.
func (m *Map[K, V]) Each(f func(entries map[K]V)) {
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.Lock()
		f(p.entries)
		p.mu.Unlock()
	}
}
