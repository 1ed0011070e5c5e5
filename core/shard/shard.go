// Package shard provides a map whose entries are distributed over shards. Each shard has its
// own lock, which reduces contention between unrelated keys.
//
// # Usage
//
//	m := shard.New[world.CustomerID, *account]()
//	m.With(customer, func(entries map[world.CustomerID]*account) { ... })
package shard

import "sync"

const shardCount = 16

// Constants of the FNV-1a hash. A fixed hash keeps the order of shards the same in every run,
// so that tests with a seed are reproducible.
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

func shardOf(key string) uint32 {
	h := uint32(fnvOffset)
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * fnvPrime
	}
	return h % shardCount
}

// Map is a sharded map.
type Map[K ~string, V any] struct {
	shards [shardCount]shard[K, V]
}

type shard[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// New returns an empty map.
func New[K ~string, V any]() *Map[K, V] {
	m := &Map[K, V]{}
	for i := range m.shards {
		m.shards[i].entries = map[K]V{}
	}
	return m
}

// With calls f with the entries of the key's shard, under the shard's lock.
func (m *Map[K, V]) With(key K, f func(entries map[K]V)) {
	p := &m.shards[shardOf(string(key))]
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
