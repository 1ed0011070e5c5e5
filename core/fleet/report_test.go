package fleet_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wagtailyoke/core/fleet"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// deployment is a set of views that exchange over simulated links, which a test can break.
type deployment struct {
	clock        *timer.Virtual
	names        []world.NodeID
	views        map[world.NodeID]*fleet.View
	incarnations map[world.NodeID]uint64
	// isDown holds the nodes that do not answer, isCut the pairs of failure domains without a link.
	isDown map[world.NodeID]bool
	isCut  map[[2]string]bool
	// dropExchange decides for each exchange whether it is lost.
	dropExchange func() bool
	// cost counts what each node sends and receives.
	cost map[world.NodeID]*cost
}

type cost struct {
	messages, bytes, records int
}

func newDeployment(domains, perDomain, services int) *deployment {
	d := &deployment{
		clock: timer.NewVirtual(), views: map[world.NodeID]*fleet.View{}, incarnations: map[world.NodeID]uint64{},
		isDown: map[world.NodeID]bool{}, isCut: map[[2]string]bool{}, dropExchange: func() bool { return false }, cost: map[world.NodeID]*cost{},
	}
	var all []*wire.FleetRecord
	for i := range domains * perDomain {
		r := record(fmt.Sprintf("n%04d", i), fmt.Sprintf("d%02d", i%domains), 1)
		r.Service = fmt.Sprintf("s%d", i/domains%services)
		all = append(all, r)
		d.names = append(d.names, world.NodeID(r.Node))
	}
	for _, r := range all {
		d.start(r)
	}
	for _, v := range d.views {
		v.SetListing(all)
	}
	return d
}

// start starts or restarts a node with a higher incarnation.
func (d *deployment) start(r *wire.FleetRecord) {
	name := world.NodeID(r.GetNode())
	d.incarnations[name]++
	r = proto.Clone(r).(*wire.FleetRecord)
	r.Incarnation, r.Sequence = d.incarnations[name], 0
	d.views[name] = fleet.New(d.clock, r, fleet.Options{Period: period, ForgetAfter: 8 * time.Second})
	d.views[name].SetLoadReport(loadReportOf(r.GetService()))
	d.cost[name] = &cost{}
}

func loadReportOf(service string) *wire.Pulse {
	return &wire.Pulse{
		Slots: 20, Load: 7, Level: 0.5, Needs: []float32{1, 2, 3}, Arrivals: 11,
		Offers: []*wire.ServiceOffer{{Service: service, Asked: []float32{3, 2, 1}, LetIn: []float32{1, 2, 1}}},
	}
}

var calledServices = []world.ServiceID{"s0", "s1", "s2", "s3"}

func (d *deployment) exchange() {
	d.clock.Run(d.clock.Now() + period)
	for _, name := range d.names {
		if d.isDown[name] {
			continue
		}
		v := d.views[name]
		v.Version()
		v.ServiceSums()
		for _, to := range v.Targets() {
			d.exchangeWith(name, to)
		}
	}
}

func (d *deployment) exchangeWith(name, to world.NodeID) {
	v, target := d.views[name], d.views[to]
	from, at := v.Self().GetDomain(), target.Self().GetDomain()
	if d.isDown[to] || d.isCut[[2]string{from, at}] || d.isCut[[2]string{at, from}] || d.dropExchange() {
		v.MarkFailed(to)
		return
	}
	req := v.BuildRequest(to, calledServices)
	reply := target.HandleRequest(req)
	for _, n := range []world.NodeID{name, to} {
		c := d.cost[n]
		c.messages++
		c.bytes += proto.Size(req) + proto.Size(reply)
		c.records += len(req.GetRecords()) + len(reply.GetRecords())
	}
	v.HandleReply(to, req, reply)
}

// expectConverged expects that each running node considers exactly the running nodes reachable, has their
// newest records, and has the slots of all of them in its sums.
func (d *deployment) expectConverged(t interface{ Fatalf(string, ...any) }) {
	slots := map[string]float64{}
	for _, name := range d.names {
		if !d.isDown[name] {
			slots[d.views[name].Self().GetService()] += 20
		}
	}
	for _, name := range d.names {
		if d.isDown[name] {
			continue
		}
		v := d.views[name]
		for _, node := range v.Nodes() {
			other := world.NodeID(node.Record.GetNode())
			if node.IsUnreachable != d.isDown[other] {
				t.Fatalf("%s: IsUnreachable of %s is %v", name, other, node.IsUnreachable)
			}
			if want := d.views[other].Self(); !d.isDown[other] && !proto.Equal(want, node.Record) {
				t.Fatalf("%s has record %v, want %v", name, node.Record, want)
			}
		}
		own := v.Self().GetService()
		for _, service := range calledServices {
			want := slots[string(service)]
			if string(service) == own {
				want -= 20
			}
			if got := v.ServiceSums().Of(service); math.Abs(got.Slots-want) > 0.5 {
				t.Fatalf("%s has %v slots of %s at other nodes, want %v", name, got.Slots, service, want)
			}
		}
	}
}

// TestFleetConvergesAfterFaults drops exchanges, cuts off failure domains, and stops and restarts nodes,
// often the relay. Some periods after the last fault, every node must know all running nodes.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(2, 5).Draw(t, "perDomain"), 4)
		lossOf100 := 0
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		d.dropExchange = func() bool { return random.Intn(100) < lossOf100 }
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			name := d.names[rapid.IntRange(0, len(d.names)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				name = d.names[0]
			}
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				lossOf100 = rapid.SampledFrom([]int{0, 10, 40}).Draw(t, "of100")
			case 1:
				d.isDown[name] = true
			case 2:
				d.isDown[name] = false
				d.start(d.views[name].Self())
				d.views[name].SetListing(d.records())
			case 3:
				d.isCut[[2]string{"d00", "d01"}] = !d.isCut[[2]string{"d00", "d01"}]
			case 4:
				d.views[name].SetSelf(func(r *wire.FleetRecord) { r.Limit++ })
			case 5:
				d.sweep()
			}
			for range rapid.IntRange(0, 30).Draw(t, "periods") {
				d.exchange()
			}
		}
		lossOf100, d.isCut = 0, map[[2]string]bool{}
		for range 24 {
			d.exchange()
		}
		d.expectConverged(t)
	})
}

// records returns the nodes as the platform lists them, with address and incarnation.
func (d *deployment) records() []*wire.FleetRecord {
	var all []*wire.FleetRecord
	for _, name := range d.names {
		r := d.views[name].Self()
		r.Sequence, r.Limit = 0, 0
		all = append(all, r)
	}
	return all
}

func (d *deployment) sweep() {
	for _, name := range d.names {
		d.views[name].Sweep()
	}
}

// TestCrashIsDetectedEverywhere stops a node of a fleet without faults and expects that all others consider it
// unreachable within two seconds, and that they consider no other node unreachable meanwhile.
func TestCrashIsDetectedEverywhere(t *testing.T) {
	for _, killed := range []world.NodeID{"n0000", "n0001", "n0017"} {
		d := newDeployment(3, 8, 4)
		for range 20 {
			d.exchange()
		}
		d.expectConverged(t)
		d.isDown[killed] = true
		for range 8 {
			d.exchange()
			for _, name := range d.names {
				for _, node := range d.views[name].Nodes() {
					if other := world.NodeID(node.Record.GetNode()); name != killed && other != killed && node.IsUnreachable {
						t.Fatalf("%s considers %s unreachable after the crash of %s", name, other, killed)
					}
				}
			}
		}
		d.expectConverged(t)
	}
}

// TestSlowRepliesDoNotResetReportAge cuts off a failure domain while replies between the others are slow and
// overlap. The reports about it that they pass to each other must still age.
func TestSlowRepliesDoNotResetReportAge(t *testing.T) {
	c := qt.New(t)
	const domains, replyDelay = 6, 160 * time.Millisecond
	d := newDeployment(domains, 1, 4)
	pairs := 0
	for i, name := range d.names {
		for j, to := range d.names {
			if i == j {
				continue
			}
			pairs++
			phase := time.Duration(pairs) * period / (domains * (domains - 1))
			d.clock.After(phase, func() {
				timer.Every(d.clock, period, func() { d.exchangeSlowly(name, to, replyDelay) })
			})
		}
	}
	d.clock.Run(d.clock.Now() + 3*time.Second)
	d.expectConverged(t)
	for _, other := range d.names[1:] {
		d.isCut[[2]string{"d00", d.views[other].Self().GetDomain()}] = true
	}
	// A node counts as unreachable after 1.25 s, and the last replies from before the cut are still in transit.
	d.clock.Run(d.clock.Now() + 1250*time.Millisecond + 2*replyDelay)
	for _, name := range d.names[1:] {
		for _, node := range d.views[name].Nodes() {
			c.Assert(node.IsUnreachable, qt.Equals, node.Record.GetDomain() == "d00", qt.Commentf("%s at %s", node.Record.GetNode(), name))
		}
	}
}

// exchangeSlowly makes an exchange whose reply arrives after a delay.
func (d *deployment) exchangeSlowly(name, to world.NodeID, replyDelay time.Duration) {
	v, target := d.views[name], d.views[to]
	from, at := v.Self().GetDomain(), target.Self().GetDomain()
	req := v.BuildRequest(to, calledServices)
	if d.isCut[[2]string{from, at}] || d.isCut[[2]string{at, from}] {
		return
	}
	reply := target.HandleRequest(req)
	d.clock.After(replyDelay, func() { v.HandleReply(to, req, reply) })
}

// Target limits of the exchange for a node that is not a relay: 4 exchanges per second, and 3 KB per second
// in both directions together. Without changes no records are sent.
const (
	maxMessagesPerSecond = 4.0
	maxBytesPerSecond    = 3000.0
)

// TestExchangeCostIndependentOfFleetSize simulates fleets without faults with 19 nodes per failure domain and
// a growing number of failure domains.
func TestExchangeCostIndependentOfFleetSize(t *testing.T) {
	c := qt.New(t)
	for _, domains := range []int{2, 5, 16} {
		d := newDeployment(domains, 19, 4)
		for range 20 {
			d.exchange()
		}
		for _, name := range d.names {
			*d.cost[name] = cost{}
		}
		const seconds = 5
		for range int(seconds * time.Second / period) {
			d.exchange()
		}
		last := d.cost[d.names[len(d.names)-1]]
		c.Logf("%d nodes: %d messages, %d bytes per second", len(d.names), last.messages/seconds, last.bytes/seconds)
		c.Assert(float64(last.messages)/seconds <= maxMessagesPerSecond, qt.IsTrue, qt.Commentf("%d nodes: %+v", len(d.names), last))
		c.Assert(float64(last.bytes)/seconds <= maxBytesPerSecond, qt.IsTrue, qt.Commentf("%d nodes: %+v", len(d.names), last))
		for _, name := range d.names {
			c.Assert(d.cost[name].records, qt.Equals, 0, qt.Commentf("%s", name))
		}
	}
}

// TestEvidenceSentOnlyOnSignificantChange lets one of many nodes report less evidence, which changes the sum of
// its failure domain little, and then lets all of them report more.
func TestEvidenceSentOnlyOnSignificantChange(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(2, 10, 4)
	setEvidence := func(name world.NodeID, runs float32) {
		d.views[name].SetEvidence([]*wire.CallEvidence{{Route: "view", Child: "hold", Runs: runs, Sums: []float32{runs}, Variances: []float32{runs}}})
	}
	for _, name := range d.names {
		setEvidence(name, 100)
	}
	for range 4 {
		d.exchange()
	}
	evidenceSent := func() bool {
		req := d.views["n0001"].BuildRequest("n0000", nil)
		reply := d.views["n0000"].HandleRequest(req)
		d.views["n0001"].HandleReply("n0000", req, reply)
		return reply.GetReports()[0].GetHasEvidence()
	}
	evidenceSent()
	setEvidence("n0004", 40)
	d.exchange()
	c.Assert(evidenceSent(), qt.IsFalse)
	for _, name := range d.names {
		setEvidence(name, 200)
	}
	d.exchangeWith("n0002", "n0000")
	d.exchangeWith("n0004", "n0000")
	d.exchangeWith("n0006", "n0000")
	c.Assert(evidenceSent(), qt.IsTrue)
	for range 4 {
		d.exchange()
	}
	// A relay's sum may lag by less than the change that is sent: a quarter.
	runs := d.views["n0001"].Evidence()[0].GetRuns()
	c.Assert(runs >= 0.75*20*200 && runs <= 20*200, qt.IsTrue, qt.Commentf("%v", runs))
}
