// Package store defines the API of the platform's object store and an in-memory
// implementation of it with versions, conditional updates and watches.
//
// # Usage
//
//	m := store.NewMemory()
//	v, err := m.Put("config", 0, value) // version 0: create only
//	errors.Is(err, store.ErrConflict)   // another writer updated the object first
//
// Nodes use the asynchronous Platform interface. The platform stand-in and the tests store
// their objects in Memory.
package store

import (
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Errors of the object store.
var (
	// ErrConflict means that the expected version is not the current one.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that no response was received. A write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that the changes since a version are no longer available.
	ErrCompacted = errors.New("history of the objects is gone")
	// ErrUnchanged means that a watch timed out without a change.
	ErrUnchanged = errors.New("object unchanged")
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a stored value with its version. Versions start at 1 and increase by 1.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Platform is the object store API used by nodes. Each done callback is called exactly once.
type Platform interface {
	Get(key string, done func(Object, error))
	Put(key string, expected uint64, value []byte, done func(version uint64, err error))
	Delete(key string, done func(error))
	// Watch calls done when the object's version is greater than after, or with ErrUnchanged
	// when the watch times out.
	Watch(key string, after uint64, done func(Object, error))
}

// Memory is an in-memory object store. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	objects  map[string]Object
	watchers map[string][]func(Object)
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: map[string]Object{}, watchers: map[string][]func(Object){}}
}

// Get returns the object, or ErrNotFound.
func (m *Memory) Get(key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound
	}
	return o, nil
}

// Put replaces the object's value if its current version is the expected one, and returns the
// new version. An expected version of 0 creates the object. On ErrConflict it returns the
// current version.
func (m *Memory) Put(key string, expected uint64, value []byte) (uint64, error) {
	m.mu.Lock()
	current := m.objects[key]
	if current.Version != expected {
		m.mu.Unlock()
		return current.Version, ErrConflict
	}
	o := Object{Key: key, Version: expected + 1, Value: append([]byte(nil), value...)}
	m.objects[key] = o
	watchers := m.watchers[key]
	delete(m.watchers, key)
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

// List returns the objects whose keys have the prefix, sorted by key.
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

// OnChange calls f once, as soon as the object's version is greater than after.
func (m *Memory) OnChange(key string, after uint64, f func(Object)) {
	m.mu.Lock()
	o, ok := m.objects[key]
	if ok && o.Version > after {
		m.mu.Unlock()
		f(o)
		return
	}
	m.watchers[key] = append(m.watchers[key], f)
	m.mu.Unlock()
}
