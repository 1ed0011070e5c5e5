package term_test

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"
	"time"

	"wagtailyoke/core/store"
	"wagtailyoke/core/term"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// testCluster is the members of one failure domain on virtual time. Messages can be
// blocked between two members in one direction only.
type testCluster struct {
	clock     *timer.Virtual
	random    *rand.Rand
	memory    *store.Memory
	members   []*member
	blocked   map[[2]int]bool
	storeDown map[int]bool
	slowStore bool
	// loseReplies loses the replies of some store operations.
	loseReplies bool
	violation   string
	termsWon    int
	// handovers counts the terms that were handed over.
	handovers int
}

// member is one node and its term.
type member struct {
	g           *testCluster
	index       int
	term        *term.Term
	frozenUntil time.Duration
	// incarnation counts the starts; callbacks of earlier incarnations are dropped.
	incarnation int
	// ack is the stamp of the holder's last reply, which had epoch ackEpoch.
	ack      time.Duration
	ackEpoch world.Epoch
}

func newTestCluster(seed int64, memberCount int) *testCluster {
	g := &testCluster{
		clock:     timer.NewVirtual(),
		random:    rand.New(rand.NewSource(seed)),
		memory:    store.NewMemory(),
		blocked:   map[[2]int]bool{},
		storeDown: map[int]bool{},
	}
	for i := range memberCount {
		m := &member{g: g, index: i}
		g.members = append(g.members, m)
		m.boot()
	}
	return g
}

// boot starts a new incarnation without any state of earlier ones.
func (m *member) boot() {
	m.incarnation++
	m.ack, m.ackEpoch = 0, 0
	self := term.Self{Member: m.id(), Domain: "d", Incarnation: uint64(m.incarnation)}
	m.term = term.New(m, m, m, self, term.DefaultOptions(), m)
	timer.Every(m, 100*time.Millisecond, func() { m.term.Tick() })
	timer.Every(m, 250*time.Millisecond, m.sendHeartbeats)
}

func (m *member) id() term.Member {
	name := fmt.Sprintf("m%d", m.index)
	return term.Member{Node: world.NodeID(name), Peer: world.Address(name)}
}

// Now, Wall and After make a member its own clock, which pauses while it is frozen.
func (m *member) Now() time.Duration { return m.g.clock.Now() }
func (m *member) Wall() time.Time    { return m.g.clock.Wall() }
func (m *member) After(d time.Duration, f func()) timer.Stop {
	return m.g.clock.After(d, m.ifNotRestarted(f))
}

// ifNotRestarted returns a function that calls f unless the member has restarted by then.
func (m *member) ifNotRestarted(f func()) func() {
	life := m.incarnation
	return func() {
		m.runWhenAwake(func() {
			if m.incarnation == life {
				f()
			}
		})
	}
}

func (m *member) runWhenAwake(f func()) {
	if remaining := m.frozenUntil - m.g.clock.Now(); remaining > 0 {
		m.g.clock.After(remaining+time.Microsecond, func() { m.runWhenAwake(f) })
		return
	}
	f()
}

// send delivers a message unless the direction is blocked. It may be late.
func (g *testCluster) send(from, to int, deliver func()) {
	delay := time.Millisecond + time.Duration(g.random.Int63n(int64(time.Millisecond)))
	if g.random.Intn(10) == 0 {
		delay += time.Duration(g.random.Int63n(int64(time.Second)))
	}
	g.clock.After(delay, func() {
		if !g.blocked[[2]int{from, to}] {
			g.members[to].runWhenAwake(deliver)
		}
	})
}

// sendHeartbeats sends a heartbeat to every other member; those that hold the term reply.
func (m *member) sendHeartbeats() {
	g := m.g
	ack, ackEpoch := m.ack, m.ackEpoch
	for _, other := range g.members {
		if other == m {
			continue
		}
		g.send(m.index, other.index, func() {
			if !other.term.IsValid() {
				return
			}
			epoch := other.term.Epoch()
			if ackEpoch == epoch {
				other.term.RecordContact(m.id().Node, ack)
			}
			stamp := g.clock.Now()
			g.send(other.index, m.index, func() {
				m.term.RecordHolderReply(epoch)
				if epoch > m.ackEpoch || epoch == m.ackEpoch && stamp > m.ack {
					m.ack, m.ackEpoch = stamp, epoch
				}
			})
		})
	}
}

// QueryContact implements term.ContactQuerier.
func (m *member) QueryContact(to world.Address, req *wire.TestifyRequest, done func(*wire.TestifyReply, error)) {
	for _, other := range m.g.members {
		if other.id().Peer == to {
			m.g.send(m.index, other.index, func() {
				reply := other.term.AnswerContactQuery(req)
				m.g.send(other.index, m.index, func() { done(reply, nil) })
			})
		}
	}
}

// TermWon, TermLost, TermSeen and TermRenewed implement term.Observer.
func (m *member) TermWon(term.Record, *wire.HandoverRequest) {
	m.g.termsWon++
	var ids []term.Member
	for _, other := range m.g.members {
		ids = append(ids, other.id())
	}
	m.term.SetContent(ids, nil)
}
func (m *member) TermLost(world.Epoch)    {}
func (m *member) TermSeen(term.Record)    {}
func (m *member) TermRenewed(term.Record) {}

// storeCall is one store operation. Its request or reply can be lost, and it can take
// effect late.
func (m *member) storeCall(effect func(), done func(error)) {
	g := m.g
	reply := func(delay time.Duration, err error) { g.clock.After(delay, m.ifNotRestarted(func() { done(err) })) }
	requestDelay := 4 * time.Millisecond
	if g.slowStore {
		requestDelay += time.Duration(g.random.Int63n(int64(4 * time.Second)))
	}
	requestLost, replyLost := g.storeDown[m.index], g.loseReplies && g.random.Intn(8) == 0
	g.clock.After(requestDelay, func() {
		if requestLost {
			reply(time.Second, store.ErrUnavailable)
			return
		}
		effect()
		if replyLost || g.storeDown[m.index] {
			reply(time.Second, store.ErrUnavailable)
			return
		}
		reply(4*time.Millisecond, nil)
	})
}

// Get implements store.Platform.
func (m *member) Get(key string, done func(store.Object, error)) {
	var o store.Object
	var err error
	m.storeCall(func() { o, err = m.g.memory.Get(key) }, func(callErr error) { done(o, firstError(callErr, err)) })
}

// Put implements store.Platform.
func (m *member) Put(key string, expected uint64, value []byte, done func(uint64, error)) {
	var version uint64
	var err error
	m.storeCall(func() { version, err = m.g.memory.Put(key, expected, value) }, func(callErr error) { done(version, firstError(callErr, err)) })
}

func (m *member) Delete(string, func(error))                      {}
func (m *member) Watch(string, uint64, func(store.Object, error)) {}
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// injectFaults injects random faults until the given instant.
func (g *testCluster) injectFaults(until time.Duration) {
	g.loseReplies = g.clock.Now() < until
	if !g.loseReplies {
		return
	}
	duration := 200*time.Millisecond + time.Duration(g.random.Int63n(int64(7*time.Second)))
	a := g.random.Intn(len(g.members))
	if holder := g.holder(); holder >= 0 && g.random.Intn(2) == 0 {
		a = holder
	}
	switch g.random.Intn(7) {
	case 5:
		g.handOver(a, g.random.Intn(len(g.members)))
	case 6:
		g.members[a].boot()
	case 0, 1:
		g.isolate(a, duration)
	case 2:
		g.members[a].frozenUntil = g.clock.Now() + duration
	case 3:
		// Long enough that the record stays unchanged while members have contact with the holder.
		g.storeDown[a] = true
		g.clock.After(4*time.Second+duration, func() { delete(g.storeDown, a) })
	case 4:
		allDown := g.random.Intn(2) == 0
		g.slowStore = !allDown
		for i := range g.members {
			g.storeDown[i] = allDown || g.storeDown[i]
		}
		g.clock.After(duration, func() { g.slowStore = false; g.storeDown = map[int]bool{} })
	}
	g.clock.After(time.Duration(g.random.Int63n(int64(1200*time.Millisecond))), func() { g.injectFaults(until) })
}

// handOver gracefully stops a holder, with messages that may be late or lost, and boots it
// again.
func (g *testCluster) handOver(a, b int) {
	from, to := g.members[a], g.members[b]
	if a == b || from.frozenUntil > g.clock.Now() {
		return
	}
	g.send(a, b, func() {
		prepared := to.term.PrepareHandover()
		g.send(b, a, from.ifNotRestarted(func() {
			req := &wire.HandoverRequest{Stamp: prepared.GetStamp(), Incarnation: prepared.GetIncarnation()}
			from.term.ReleaseForHandover(req, func(ok bool) {
				if !ok {
					return
				}
				g.send(a, b, func() {
					if to.term.AcceptHandover(req) {
						g.handovers++
					}
				})
				from.boot()
			})
		}))
	})
}

// isolate blocks messages between one member and most others, in one or both directions.
func (g *testCluster) isolate(a int, duration time.Duration) {
	direction := g.random.Intn(3)
	for b := range g.members {
		if g.random.Intn(5) == 0 {
			continue
		}
		// Members lose contact with the holder one after another, as when routes fail.
		b, delay := b, time.Duration(g.random.Int63n(int64(duration)))
		g.clock.After(delay, func() {
			if direction != 0 {
				g.blockFor([2]int{a, b}, duration)
			}
			if direction != 1 {
				g.blockFor([2]int{b, a}, duration)
			}
		})
	}
}

func (g *testCluster) blockFor(direction [2]int, duration time.Duration) {
	g.blocked[direction] = true
	g.clock.After(duration, func() { delete(g.blocked, direction) })
}

// holder returns the index of a member that holds the term, or -1.
func (g *testCluster) holder() int {
	for i, m := range g.members {
		if m.term.IsHolding() {
			return i
		}
	}
	return -1
}

// watchHolders checks every 5 ms that there are no two valid holders.
func (g *testCluster) watchHolders() {
	holder := -1
	for _, m := range g.members {
		if m.frozenUntil > g.clock.Now() || !m.term.IsValid() {
			continue
		}
		if holder >= 0 && g.violation == "" {
			g.violation = fmt.Sprintf("%v: m%d and m%d hold the term at once", g.clock.Now(), holder, m.index)
		}
		holder = m.index
	}
	g.clock.After(5*time.Millisecond, g.watchHolders)
}

// runTerm runs one cluster with random faults.
func runTerm(seed int64, members int) *testCluster {
	g := newTestCluster(seed, members)
	g.clock.Run(2 * time.Second)
	g.watchHolders()
	g.injectFaults(92 * time.Second)
	g.clock.Run(120 * time.Second)
	return g
}

// TestOneHolder runs clusters of 1 to 5 members with one-way partitions, freezes, store
// outages, lost replies and late messages. It checks that there are never two valid
// holders, and that there is exactly one 28 s after the last fault.
func TestOneHolder(t *testing.T) {
	seeds := int64(60)
	if n, err := strconv.ParseInt(os.Getenv("WAGTAILYOKE_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	termsWon, handovers := 0, 0
	for seed := int64(1); seed <= seeds; seed++ {
		for members := 1; members <= 5; members++ {
			g := runTerm(seed, members)
			termsWon += g.termsWon
			handovers += g.handovers
			if g.violation != "" {
				t.Errorf("seed %d, %d members: %s", seed, members, g.violation)
			}
			holders := 0
			for _, m := range g.members {
				if m.term.IsValid() {
					holders++
				}
			}
			if holders != 1 {
				t.Errorf("seed %d, %d members: %d holders at the end", seed, members, holders)
			}
			if t.Failed() {
				return
			}
		}
	}
	t.Logf("%d terms were won and %d of them handed over in %d runs", termsWon, handovers, 5*seeds)
}
