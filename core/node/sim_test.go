package node_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/event"
	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/node"
	"wagtailyoke/core/store"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// fleet is a set of complete nodes on one virtual clock, with in-memory links, a fake
// platform and fake upstreams. The same seed gives the same run.
type fleet struct {
	clock    *timer.Virtual
	random   *rand.Rand
	memory   *store.Memory
	vms      []*vm
	domains  []world.DomainID
	cuts     map[[2]world.DomainID]bool
	vmCuts   map[[2]*vm]bool
	noStore  map[world.DomainID]bool
	storeBad storeFault
	lossy    float64
	broken   []string
	audit    *audit
	trace    uint64
	limits   node.Options
	// verbose prints the events of a run, for debugging.
	verbose bool
}

type storeFault int

const (
	storeOK storeFault = iota
	storeDown
	storeSlow
	storeLosesAnswers
)

// vm is one node and its upstream.
type vm struct {
	f           *fleet
	info        node.Info
	n           *node.Node
	alive       bool
	life        int
	frozenUntil time.Duration
	stopping    bool
	up          *upstream
}

// upstream is a fake service endpoint.
type upstream struct {
	v         *vm
	life      int
	down      bool
	running   int
	slots     int
	mean      time.Duration
	slow      float64
	leavingAt time.Duration
	// late counts the calls that started after the upstream reported that it drains.
	late int
	// failing makes the upstream answer every call with 500 while it accepts connections.
	failing bool
	// shedding makes the upstream refuse every call as overloaded.
	shedding bool
	// notice is what the upstream says about itself in its answers, starts the times of its calls.
	notice     world.UpstreamNotice
	starts     []time.Duration
	jobs       map[int]*job
	nextJob    int
	totalDowns int
}

type job struct {
	call *world.Call
	done func(*world.Reply, error)
}

// Latencies of the fake network and platform.
const (
	nearLatency  = 200 * time.Microsecond
	farLatency   = 1400 * time.Microsecond
	storeLatency = 4 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
)

func newFleet(seed int64, domains, perDomain int, services ...string) *fleet {
	f := &fleet{
		clock:   timer.NewVirtual(),
		random:  rand.New(rand.NewSource(seed)),
		memory:  store.NewMemory(),
		cuts:    map[[2]world.DomainID]bool{},
		vmCuts:  map[[2]*vm]bool{},
		noStore: map[world.DomainID]bool{},
		trace:   14695981039346656037,
	}
	f.audit = newAudit(f)
	for d := range domains {
		f.domains = append(f.domains, world.DomainID(fmt.Sprintf("d%d", d)))
	}
	for i := range perDomain {
		for _, domain := range f.domains {
			f.addVM(domain, services[i%len(services)], i)
		}
	}
	return f
}

func (f *fleet) addVM(domain world.DomainID, service string, i int) *vm {
	name := fmt.Sprintf("%s-%s-%d", domain, service, i)
	v := &vm{f: f, info: node.Info{
		Name: world.NodeID(name), Domain: domain, Service: world.ServiceID(service),
		Public: world.Address(name + ":1"), Peer: world.Address(name + ":2"), Ops: world.Address(name + ":3"),
	}}
	v.up = &upstream{v: v, slots: 16, mean: 10 * time.Millisecond, slow: 1, jobs: map[int]*job{}}
	f.vms = append(f.vms, v)
	return v
}

// start boots all VMs with a configuration.
func (f *fleet) start(cfg *intent.Config) {
	cfg.Domains = f.domains
	value, err := cfg.Encode()
	if err != nil {
		panic(err)
	}
	if _, err := f.memory.Put(intent.ObjectKey, 0, value); err != nil {
		panic(err)
	}
	for _, v := range f.vms {
		v.boot()
	}
	f.run(8 * time.Second)
}

func (f *fleet) run(d time.Duration) { f.clock.Run(f.clock.Now() + d) }

// note adds an observation to the hash of the run, by which runs are compared.
func (f *fleet) note(format string, args ...any) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d ", f.trace, f.clock.Now())
	_, _ = fmt.Fprintf(h, format, args...)
	f.trace = h.Sum64()
}

func (f *fleet) fail(format string, args ...any) {
	if len(f.broken) < 20 {
		f.broken = append(f.broken, fmt.Sprintf("%v: ", f.clock.Now())+fmt.Sprintf(format, args...))
	}
}

func (f *fleet) byPeer(a world.Address) *vm {
	for _, v := range f.vms {
		if v.info.Peer == a {
			return v
		}
	}
	return nil
}

// boot starts a new generation of the VM's node.
func (v *vm) boot() {
	v.life++
	v.alive = true
	v.stopping = false
	v.frozenUntil = 0
	v.up.start()
	info := v.info
	info.Incarnation = uint64(v.f.clock.Now()/time.Millisecond) + 1
	v.n = node.New(node.Dependencies{
		Info:       info,
		Options:    v.f.limits,
		Clock:      &vmClock{v: v, life: v.life},
		Random:     rand.New(rand.NewSource(v.f.random.Int63())),
		Tokens:     func() string { return fmt.Sprintf("t%016x", v.f.random.Uint64()) },
		Links:      &vmLinks{v: v, life: v.life},
		Upstream:   v.up,
		Platform:   &vmPlatform{v: v, life: v.life},
		Metrics:    v,
		Events:     v,
		Checks:     invar.New(func(x invar.Violation) { v.f.fail("invariant %v at %s: %s", x.Name, v.info.Name, x.Detail) }),
		Configured: func() {},
	})
	v.n.Start()
	n := v.n
	v.f.clock.After(50*time.Millisecond, func() {
		if v.n == n && v.alive {
			n.UpstreamAnnounced(wire.NodeState_NODE_STATE_READY)
		}
	})
}

func (v *vm) kill() {
	v.alive = false
	v.up.crash()
}

func (v *vm) isFrozen() bool { return v.f.clock.Now() < v.frozenUntil }

// Log implements event.Log.
func (v *vm) Log(n event.Number, fields ...event.Field) {
	v.f.note("%s event %d", v.info.Name, n)
	if v.f.verbose {
		fmt.Println(v.f.clock.Now(), v.info.Name, event.Descriptions[n], fields)
	}
}

// Admitted, Served, Refused and Retried implement node.Metrics.
func (v *vm) Admitted(c world.CustomerID) { v.f.audit.admitted(c) }
func (v *vm) Served(world.RouteID)        {}
func (v *vm) Refused(code world.Code)     { v.f.audit.codes[code]++ }
func (v *vm) Retried(world.Code)          {}

// inGeneration runs a step of one generation of a VM: never after that has ended, and
// delayed while the VM is frozen.
func (v *vm) inGeneration(life int, step func()) {
	if !v.alive || v.life != life {
		return
	}
	if v.isFrozen() {
		v.f.clock.After(v.frozenUntil-v.f.clock.Now()+time.Microsecond, func() { v.inGeneration(life, step) })
		return
	}
	step()
}

type vmClock struct {
	v    *vm
	life int
}

func (c *vmClock) Now() time.Duration { return c.v.f.clock.Now() }
func (c *vmClock) Wall() time.Time    { return c.v.f.clock.Wall() }
func (c *vmClock) After(d time.Duration, step func()) timer.Stop {
	stopped := false
	stop := c.v.f.clock.After(d, func() {
		c.v.inGeneration(c.life, func() {
			if !stopped {
				step()
			}
		})
	})
	return func() { stopped = true; stop() }
}

type vmLinks struct {
	v    *vm
	life int
}

// isCut reports whether messages from one VM to another are lost.
func (f *fleet) isCut(a, b *vm) bool {
	return f.cuts[[2]world.DomainID{a.info.Domain, b.info.Domain}] || f.vmCuts[[2]*vm{a, b}]
}

func (f *fleet) latency(a, b world.DomainID) time.Duration {
	base := nearLatency
	if a != b {
		base = farLatency
	}
	return base + time.Duration(f.random.Int63n(int64(base)))
}

// Control delivers a message with random loss, duplication and delay.
func (l *vmLinks) Control(to world.Address, req proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	f, target := l.v.f, l.v.f.byPeer(to)
	answered := false
	finish := func(m proto.Message, err error) {
		if !answered {
			answered = true
			l.v.inGeneration(l.life, func() { done(m, err) })
		}
	}
	f.clock.After(timeout, func() { finish(nil, world.ErrBroken) })
	copies := 1
	if f.random.Float64() < f.lossy/2 {
		copies = 2
	}
	for range copies {
		f.clock.After(f.latency(l.v.info.Domain, target.info.Domain)+f.jitter(), func() { l.arrive(target, req, finish) })
	}
}

// jitter returns a random delay for some messages, which reorders them.
func (f *fleet) jitter() time.Duration {
	if f.random.Float64() >= f.lossy {
		return 0
	}
	return time.Duration(f.random.Int63n(int64(2 * time.Second)))
}

func (l *vmLinks) arrive(target *vm, req proto.Message, finish func(proto.Message, error)) {
	f := l.v.f
	if f.isCut(l.v, target) || f.random.Float64() < f.lossy || !target.alive {
		return
	}
	target.inGeneration(target.life, func() {
		target.n.HandleControl(proto.Clone(req), func(reply proto.Message) {
			if f.random.Float64() < f.lossy {
				return
			}
			copied := proto.Clone(reply)
			f.clock.After(f.latency(target.info.Domain, l.v.info.Domain)+f.jitter(), func() {
				if !f.isCut(target, l.v) {
					finish(copied, nil)
				}
			})
		})
	})
}

// Forward sends a call like a TCP connection does: it arrives once or not at all.
func (l *vmLinks) Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func()) {
	f, target := l.v.f, l.v.f.byPeer(to)
	answered := false
	finish := func(r *world.Reply, err error) {
		if !answered {
			answered = true
			l.v.inGeneration(l.life, func() { done(r, err) })
		}
	}
	copied := *c
	copied.Header = c.Header.Clone()
	f.audit.sawOnWire(&copied)
	cancelTarget := func() {}
	f.clock.After(f.latency(l.v.info.Domain, target.info.Domain), func() {
		if !target.alive {
			finish(nil, world.ErrNotSent)
			return
		}
		if f.isCut(l.v, target) {
			f.clock.After(dialTimeout, func() { finish(nil, world.ErrNotSent) })
			return
		}
		life := target.life
		f.watchLife(target, life, func() { finish(nil, world.ErrBroken) })
		target.inGeneration(life, func() {
			cancelTarget = target.n.ServePeer(&copied, func(r *world.Reply) {
				if f.isCut(target, l.v) || f.random.Float64() < f.lossy/4 {
					// The answer is lost; the connection breaks later.
					f.clock.After(dialTimeout, func() { finish(nil, world.ErrBroken) })
					return
				}
				f.clock.After(f.latency(target.info.Domain, l.v.info.Domain), func() { finish(r, nil) })
			})
		})
	})
	return func() {
		answered = true
		f.clock.After(f.latency(l.v.info.Domain, target.info.Domain), func() {
			target.inGeneration(target.life, cancelTarget)
		})
	}
}

// watchLife calls ended when a generation of a VM has ended, as a broken connection does.
func (f *fleet) watchLife(v *vm, life int, ended func()) {
	const poll = 50 * time.Millisecond
	for i := 1; i <= 60; i++ {
		f.clock.After(time.Duration(i)*poll, func() {
			if !v.alive || v.life != life {
				ended()
			}
		})
	}
}

type vmPlatform struct {
	v    *vm
	life int
}

// call applies the platform's faults to one operation. effect changes or reads
// the store, unless the request is lost.
func (p *vmPlatform) call(isWrite bool, effect func(), done func(error)) {
	f := p.v.f
	delay := storeLatency + time.Duration(f.random.Int63n(int64(storeLatency)))
	if f.storeBad == storeSlow {
		delay += time.Duration(f.random.Int63n(int64(3 * time.Second)))
	}
	lost := f.storeBad == storeDown || f.noStore[p.v.info.Domain]
	loseAnswer := isWrite && (f.storeBad == storeLosesAnswers && f.random.Float64() < 0.5 || f.random.Float64() < f.lossy/4)
	answer := func(after time.Duration, err error) {
		f.clock.After(after, func() { p.v.inGeneration(p.life, func() { done(err) }) })
	}
	f.clock.After(delay, func() {
		if lost || f.noStore[p.v.info.Domain] {
			answer(time.Second, store.ErrUnavailable)
			return
		}
		effect()
		if loseAnswer {
			answer(time.Second, store.ErrUnavailable)
			return
		}
		answer(storeLatency, nil)
	})
}

func (p *vmPlatform) Get(key string, done func(store.Object, error)) {
	var o store.Object
	var err error
	p.call(false, func() { o, err = p.v.f.memory.Get(key) }, func(fault error) { done(o, first(fault, err)) })
}

func (p *vmPlatform) Put(key string, expected uint64, value []byte, done func(uint64, error)) {
	var version uint64
	var err error
	effect := func() { version, err = p.v.f.memory.Put(key, expected, value) }
	p.call(true, effect, func(fault error) { done(version, first(fault, err)) })
}

func (p *vmPlatform) Delete(key string, done func(error)) {
	p.call(true, func() { p.v.f.memory.Delete(key) }, done)
}

func (p *vmPlatform) Watch(key string, after uint64, done func(store.Object, error)) {
	// One poll per second simulates the long poll.
	p.v.f.clock.After(time.Second, func() {
		p.v.inGeneration(p.life, func() {
			p.Get(key, func(o store.Object, err error) {
				if err == nil && o.Version <= after {
					err = store.ErrUnchanged
				}
				done(o, err)
			})
		})
	})
}

func first(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (u *upstream) start() {
	u.life++
	u.down = false
	u.slow = 1
	u.leavingAt = 0
	u.running = 0
	u.jobs = map[int]*job{}
}

// crash ends the upstream's process, which breaks all connections.
func (u *upstream) crash() {
	u.down = true
	u.totalDowns++
	ids := make([]int, 0, len(u.jobs))
	for id := range u.jobs {
		ids = append(ids, id)
	}
	sort.Ints(ids)
	for _, id := range ids {
		j := u.jobs[id]
		delete(u.jobs, id)
		u.v.inGeneration(u.v.life, func() { j.done(nil, world.ErrBroken) })
	}
}

// Probe implements node.Upstream.
func (u *upstream) Probe(done func(bool)) {
	life := u.v.life
	u.v.f.clock.After(nearLatency, func() { u.v.inGeneration(life, func() { done(!u.down) }) })
}

// Do implements node.Upstream.
func (u *upstream) Do(c *world.Call, token string, done func(*world.Reply, error)) (cancel func()) {
	f := u.v.f
	u.nextJob++
	id, life := u.nextJob, u.life
	finish := func(r *world.Reply, err error) {
		if u.jobs[id] != nil && u.life == life {
			delete(u.jobs, id)
			if r != nil {
				notice := u.notice
				r.Notice = &notice
			}
			u.v.inGeneration(u.v.life, func() { done(r, err) })
		}
	}
	if u.down {
		f.clock.After(nearLatency, func() { u.v.inGeneration(u.v.life, func() { done(nil, world.ErrNotSent) }) })
		return func() {}
	}
	if u.shedding {
		refusal := &world.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"1"}}}
		f.clock.After(nearLatency, func() { u.v.inGeneration(u.v.life, func() { done(refusal, nil) }) })
		return func() {}
	}
	u.jobs[id] = &job{call: c, done: done}
	f.audit.ran(u, c)
	u.starts = append(u.starts, f.clock.Now())
	if strings.Contains(c.Path, "crash=1") {
		f.clock.After(time.Millisecond, func() {
			if u.jobs[id] != nil && u.life == life {
				u.crash()
				f.clock.After(time.Second, func() { u.recover() })
			}
		})
		return func() {}
	}
	busy := len(u.jobs)
	took := time.Duration(float64(u.mean) * u.slow * (0.5 + f.random.Float64()))
	if busy > u.slots {
		took = took * time.Duration(busy) / time.Duration(u.slots)
	}
	f.clock.After(took, func() { u.children(c, token, id, finish) })
	return func() {
		// A cancelled request ends with an error, as over a socket.
		f.clock.After(nearLatency, func() { finish(nil, world.ErrBroken) })
	}
}

func (u *upstream) recover() {
	if u.v.alive && u.down {
		u.start()
	}
}

// children makes the child call that the path names, then answers.
func (u *upstream) children(c *world.Call, token string, id int, finish func(*world.Reply, error)) {
	if u.jobs[id] == nil {
		return
	}
	if u.failing {
		finish(&world.Reply{Status: http.StatusInternalServerError, Header: http.Header{}}, nil)
		return
	}
	_, query, _ := strings.Cut(c.Path, "?child=")
	if query == "" {
		body := fmt.Sprintf("%s|%s|%s", c.ID, c.Customer, c.Key)
		finish(&world.Reply{Status: http.StatusOK, Body: []byte(body), Header: http.Header{}}, nil)
		return
	}
	in := node.Incoming{Method: http.MethodGet, Path: query, Header: http.Header{node.HeaderContext: {token}}}
	u.v.inGeneration(u.v.life, func() {
		u.v.n.ServeEgress(in, func(r *world.Reply) {
			if !r.IsSuccess() {
				finish(&world.Reply{Status: http.StatusBadGateway, Header: http.Header{}}, nil)
				return
			}
			body := fmt.Sprintf("%s|%s|%s", c.ID, c.Customer, c.Key)
			finish(&world.Reply{Status: http.StatusOK, Body: []byte(body), Header: http.Header{}}, nil)
		})
	})
}

// newKey returns a UUIDv7 of the virtual time.
func (f *fleet) newKey() string {
	var id uuid.UUID
	ms := uint64(f.clock.Wall().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(f.random.Intn(256))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// change updates the configuration conditionally, as an operator does.
func (f *fleet) change(intents ...intent.Intent) error {
	o, err := f.memory.Get(intent.ObjectKey)
	if err != nil {
		return err
	}
	cfg, err := intent.Decode(world.ConfigVersion(o.Version), o.Value)
	if err != nil {
		return err
	}
	p, err := intent.NewPlan(fmt.Sprintf("p%016x", f.random.Uint64()), f.clock.Wall().UnixMilli(), cfg, intents)
	if err != nil {
		return err
	}
	next, err := p.Confirm(cfg, f.clock.Wall().UnixMilli())
	if err != nil {
		return err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	_, err = f.memory.Put(intent.ObjectKey, o.Version, value)
	return errors.Wrap(err, "change")
}
