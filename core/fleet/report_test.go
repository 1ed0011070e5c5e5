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

// deployment is a number of views that exchange over links which a test can break.
type deployment struct {
	clock *timer.Virtual
	names []world.NodeID
	views map[world.NodeID]*fleet.View
	lives map[world.NodeID]uint64
	// isDown holds the nodes that do not answer, isCut pairs of failure domains without a link.
	isDown map[world.NodeID]bool
	isCut  map[[2]string]bool
	// isLost decides on each exchange.
	isLost func() bool
	// cost counts what each node sends and receives.
	cost map[world.NodeID]*cost
}

type cost struct {
	messages, bytes, records int
}

func newDeployment(domains, perDomain, services int) *deployment {
	d := &deployment{
		clock: timer.NewVirtual(), views: map[world.NodeID]*fleet.View{}, lives: map[world.NodeID]uint64{},
		isDown: map[world.NodeID]bool{}, isCut: map[[2]string]bool{}, isLost: func() bool { return false }, cost: map[world.NodeID]*cost{},
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

// start starts a node anew, with a higher incarnation.
func (d *deployment) start(r *wire.FleetRecord) {
	name := world.NodeID(r.GetNode())
	d.lives[name]++
	r = proto.Clone(r).(*wire.FleetRecord)
	r.Incarnation, r.Sequence = d.lives[name], 0
	d.views[name] = fleet.New(d.clock, r, fleet.Options{Period: period, ForgetAfter: 8 * time.Second})
	d.views[name].SetLoadReport(pulseOf(r.GetService()))
	d.cost[name] = &cost{}
}

func pulseOf(service string) *wire.Pulse {
	return &wire.Pulse{
		Slots: 20, Load: 7, Level: 0.5, Needs: []float32{1, 2, 3}, Arrivals: 11,
		Offers: []*wire.ServiceOffer{{Service: service, Asked: []float32{3, 2, 1}, LetIn: []float32{1, 2, 1}}},
	}
}

var needed = []world.ServiceID{"s0", "s1", "s2", "s3"}

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
			d.ask(name, to)
		}
	}
}

func (d *deployment) ask(name, to world.NodeID) {
	v, target := d.views[name], d.views[to]
	from, at := v.Self().GetDomain(), target.Self().GetDomain()
	if d.isDown[to] || d.isCut[[2]string{from, at}] || d.isCut[[2]string{at, from}] || d.isLost() {
		v.MarkFailed(to)
		return
	}
	req := v.BuildRequest(to, needed)
	reply := target.HandleRequest(req)
	for _, n := range []world.NodeID{name, to} {
		c := d.cost[n]
		c.messages++
		c.bytes += proto.Size(req) + proto.Size(reply)
		c.records += len(req.GetRecords()) + len(reply.GetRecords())
	}
	v.HandleReply(to, req, reply)
}

// expectWhole expects that each node that lives hears all others that do, knows their records,
// and has the sums of all of them.
func (d *deployment) expectWhole(t interface{ Fatalf(string, ...any) }) {
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
				t.Fatalf("%s: silence of %s is %v", name, other, node.IsUnreachable)
			}
			if want := d.views[other].Self(); !d.isDown[other] && !proto.Equal(want, node.Record) {
				t.Fatalf("%s knows %v instead of %v", name, node.Record, want)
			}
		}
		own := v.Self().GetService()
		for _, service := range needed {
			want := slots[string(service)]
			if string(service) == own {
				want -= 20
			}
			if got := v.ServiceSums().Of(service); math.Abs(got.Slots-want) > 0.5 {
				t.Fatalf("%s knows %v slots of %s at other nodes, there are %v", name, got.Slots, service, want)
			}
		}
	}
}

// TestFleetIsWholeAfterTrouble lets exchanges get lost, cuts failure domains off, kills and
// restarts nodes, relays above all. Some periods later every node knows all that live.
func TestFleetIsWholeAfterTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(2, 5).Draw(t, "perDomain"), 4)
		lossOf100 := 0
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		d.isLost = func() bool { return random.Intn(100) < lossOf100 }
		for range rapid.IntRange(0, 8).Draw(t, "troubles") {
			name := d.names[rapid.IntRange(0, len(d.names)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				name = d.names[0]
			}
			switch rapid.IntRange(0, 5).Draw(t, "trouble") {
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
				d.forgetSilent()
			}
			for range rapid.IntRange(0, 30).Draw(t, "periods") {
				d.exchange()
			}
		}
		lossOf100, d.isCut = 0, map[[2]string]bool{}
		for range 24 {
			d.exchange()
		}
		d.expectWhole(t)
	})
}

// records are what the platform lists: address and incarnation of each node.
func (d *deployment) records() []*wire.FleetRecord {
	var all []*wire.FleetRecord
	for _, name := range d.names {
		r := d.views[name].Self()
		r.Sequence, r.Limit = 0, 0
		all = append(all, r)
	}
	return all
}

func (d *deployment) forgetSilent() {
	for _, name := range d.names {
		d.views[name].Sweep()
	}
}

// TestDeathIsSeenEverywhere kills nodes of a calm fleet and expects that they count as silent at
// all others within two seconds, and that nobody else does meanwhile.
func TestDeathIsSeenEverywhere(t *testing.T) {
	for _, killed := range []world.NodeID{"n0000", "n0001", "n0017"} {
		d := newDeployment(3, 8, 4)
		for range 20 {
			d.exchange()
		}
		d.expectWhole(t)
		d.isDown[killed] = true
		for range 8 {
			d.exchange()
			for _, name := range d.names {
				for _, node := range d.views[name].Nodes() {
					if other := world.NodeID(node.Record.GetNode()); name != killed && other != killed && node.IsUnreachable {
						t.Fatalf("%s takes %s for silent after the death of %s", name, other, killed)
					}
				}
			}
		}
		d.expectWhole(t)
	}
}

// TestSlowAnswersMakeNothingYounger cuts a failure domain off while answers between the others take
// their time and overlap: what they pass on of it from one to the other must age all the same.
func TestSlowAnswersMakeNothingYounger(t *testing.T) {
	c := qt.New(t)
	const domains, way = 6, 160 * time.Millisecond
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
				timer.Every(d.clock, period, func() { d.askSlowly(name, to, way) })
			})
		}
	}
	d.clock.Run(d.clock.Now() + 3*time.Second)
	d.expectWhole(t)
	for _, other := range d.names[1:] {
		d.isCut[[2]string{"d00", d.views[other].Self().GetDomain()}] = true
	}
	// Silence counts from 1.25 s on, and the last answers from before the cut are on their way.
	d.clock.Run(d.clock.Now() + 1250*time.Millisecond + 2*way)
	for _, name := range d.names[1:] {
		for _, node := range d.views[name].Nodes() {
			c.Assert(node.IsUnreachable, qt.Equals, node.Record.GetDomain() == "d00", qt.Commentf("%s at %s", node.Record.GetNode(), name))
		}
	}
}

// askSlowly exchanges over a link whose answers take a while.
func (d *deployment) askSlowly(name, to world.NodeID, way time.Duration) {
	v, target := d.views[name], d.views[to]
	from, at := v.Self().GetDomain(), target.Self().GetDomain()
	req := v.BuildRequest(to, needed)
	if d.isCut[[2]string{from, at}] || d.isCut[[2]string{at, from}] {
		return
	}
	reply := target.HandleRequest(req)
	d.clock.After(way, func() { v.HandleReply(to, req, reply) })
}

// Bounds of the exchange for a node that is not a relay: four exchanges a second, and 3 KB a
// second for both ways, of the target's figures. No record travels in a calm fleet.
const (
	mostMessages = 4.0
	mostBytes    = 3000.0
)

// TestCostDoesNotRiseWithTheFleet plays calm fleets of 19 nodes in a failure domain and more and
// more failure domains.
func TestCostDoesNotRiseWithTheFleet(t *testing.T) {
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
		middle := d.cost[d.names[len(d.names)-1]]
		c.Logf("%d nodes: %d messages, %d bytes a second", len(d.names), middle.messages/seconds, middle.bytes/seconds)
		c.Assert(float64(middle.messages)/seconds <= mostMessages, qt.IsTrue, qt.Commentf("%d nodes: %+v", len(d.names), middle))
		c.Assert(float64(middle.bytes)/seconds <= mostBytes, qt.IsTrue, qt.Commentf("%d nodes: %+v", len(d.names), middle))
		for _, name := range d.names {
			c.Assert(d.cost[name].records, qt.Equals, 0, qt.Commentf("%s", name))
		}
	}
}

// TestEvidenceTravelsWhenItTells lets one of many nodes tell less evidence, which changes the sum of its
// failure domain little, and then all of them more.
func TestEvidenceTravelsWhenItTells(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(2, 10, 4)
	tell := func(name world.NodeID, runs float32) {
		d.views[name].SetEvidence([]*wire.CallEvidence{{Route: "view", Child: "hold", Runs: runs, Sums: []float32{runs}, Variances: []float32{runs}}})
	}
	for _, name := range d.names {
		tell(name, 100)
	}
	for range 4 {
		d.exchange()
	}
	told := func() bool {
		req := d.views["n0001"].BuildRequest("n0000", nil)
		reply := d.views["n0000"].HandleRequest(req)
		d.views["n0001"].HandleReply("n0000", req, reply)
		return reply.GetReports()[0].GetHasEvidence()
	}
	told()
	tell("n0004", 40)
	d.exchange()
	c.Assert(told(), qt.IsFalse)
	for _, name := range d.names {
		tell(name, 200)
	}
	d.ask("n0002", "n0000")
	d.ask("n0004", "n0000")
	d.ask("n0006", "n0000")
	c.Assert(told(), qt.IsTrue)
	for range 4 {
		d.exchange()
	}
	// A relay may be a step behind: a quarter.
	runs := d.views["n0001"].Evidence()[0].GetRuns()
	c.Assert(runs >= 0.75*20*200 && runs <= 20*200, qt.IsTrue, qt.Commentf("%v", runs))
}
