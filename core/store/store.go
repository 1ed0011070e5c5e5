// Package store describes the platform's object API and holds an in-memory
// implementation of its rules: versions, conditional updates and watches.
//
// # Usage
//
//	m := store.NewMemory()
//	v, err := m.Put("config", 0, value) // version 0: create only
//	errors.Is(err, store.ErrConflict)   // somebody else was faster
//
// Nodes use the asynchronous Platform interface; the stand-in and the tests keep
// their objects in Memory.
package store

import (
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Errors of the platform.
var (
	// ErrConflict means that the expected version is not the current one.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that no answer came; a write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that the changes since a version are no longer known.
	ErrCompacted = errors.New("history of the objects is gone")
	// ErrUnchanged means that a watch ended without a change.
	ErrUnchanged = errors.New("object unchanged")
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Object is a value with its version. Versions start at 1 and grow by 1.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Platform is the object API as a node sees it. Each done is called once.
type Platform interface {
	Get(key string, done func(Object, error))
	Put(key string, expected uint64, value []byte, done func(version uint64, err error))
	Delete(key string, done func(error))
	// Watch answers once the object's version is above after, or with
	// ErrUnchanged when the wait ends.
	Watch(key string, after uint64, done func(Object, error))
}

// Memory keeps objects in memory. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	objects map[string]Object
	changed map[string][]func(Object)
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, changed: map[string][]func(Object){}}
}

// Get returns an object.
func (m *Memory) Get(key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// Put replaces the object if its version is the expected one. An expected
// version of 0 creates the object.
func (m *Memory) Put(key string, expected uint64, value []byte) (uint64, error) {
	m.mu.Lock()
	current := m.objects[key]
	if current.Version != expected {
		m.mu.Unlock()
		return current.Version, ErrConflict
	}
	o := Object{Key: key, Version: expected + 1, Value: append([]byte(nil), value...)}
	m.objects[key] = o
	watchers := m.changed[key]
	delete(m.changed, key)
	m.mu.Unlock()
	for _, w := range watchers {
		w(o)
	}
	return o.Version, nil
}

// Delete removes an object.
func (m *Memory) Delete(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, key)
}

// List returns the objects whose key has the prefix, ordered by key.
func (m *Memory) List(prefix string) []Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// OnChange calls f once, when the object's version is above after.
func (m *Memory) OnChange(key string, after uint64, f func(Object)) {
	m.mu.Lock()
	o, ok := m.objects[key]
	if ok && o.Version > after {
		m.mu.Unlock()
		f(o)
		return
	}
	m.changed[key] = append(m.changed[key], f)
	m.mu.Unlock()
}
