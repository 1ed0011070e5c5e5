package mesh_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/wire"
)

// TestTableOfUnknownAgeIsNotCalledNew starts nodes while the store is down: they must not tell others
// that the table they have, or lack, was the newest when they started.
func TestTableOfUnknownAgeIsNotCalledNew(t *testing.T) {
	c := qt.New(t)
	s := newYard(c, 41)
	s.store.setDown(true)
	s.run(time.Second)
	for _, v := range s.nodes {
		age := time.Duration(v.node.HandleExchange(&wire.ExchangeRequest{}).GetTableAgeMs()) * time.Millisecond
		c.Assert(age >= time.Minute, qt.IsTrue, qt.Commentf("%s calls its table %v old", v.name, age))
	}
	s.store.setDown(false)
	s.run(4 * time.Second)
	for _, v := range s.nodes {
		age := time.Duration(v.node.HandleExchange(&wire.ExchangeRequest{}).GetTableAgeMs()) * time.Millisecond
		c.Assert(age <= 2*time.Second, qt.IsTrue, qt.Commentf("%s calls its table %v old", v.name, age))
	}
}
