// Rig-3 runs the cases of the third review that are scripts: a small deployment of real sidecars with stand-ins of
// the store, the endpoints and the clients, all on loopback addresses.
//
// # Usage
//
//	rig-3 -scenario evacuation -binary target/wagtailyoke -record review/11/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	_ "embed"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"
)

// namesFile holds the names of the users' protocol.
//
//go:embed names.json
var namesFile []byte

var names map[string]string

// outcome is the result of a scenario.
type outcome struct {
	broken int
	detail string
}

var scenarios = map[string]func(s *site, trouble bool) (outcome, error){
	"evacuation": evacuation,
	"revoke":     revoke,
	"departure":  departure,
	"cold":       cold,
	"ban":        ban,
}

var (
	zones    = []string{"annex-b", "mill-st", "river-rd"}
	services = []string{"stockdesk", "lotbook", "pricebook", "yardgate"}
	// banServices gives yardgate six endpoints.
	banServices = []string{"stockdesk", "lotbook", "yardgate", "yardgate"}
)

func main() {
	scenario := flag.String("scenario", "", "the case to run")
	binary := flag.String("binary", "target/wagtailyoke", "the program")
	recordFile := flag.String("record", "record.txt", "the file for the record")
	logDir := flag.String("logs", "", "keeps settings and logs in this folder")
	flag.Parse()
	os.Exit(execute(*scenario, *binary, *recordFile, *logDir))
}

func execute(scenario, binary, recordFile, logDir string) int {
	play := scenarios[scenario]
	if err := json.Unmarshal(namesFile, &names); err != nil || play == nil {
		fmt.Printf("cannot run: scenario %q, names: %v\n", scenario, err)
		return 2
	}
	dir := logDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "rig-3-"); err != nil {
			fmt.Println("cannot run:", err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{start: time.Now()}
	p, err := newPorts()
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer func() { _ = p.claim.Close() }()
	placed := services
	if scenario == "ban" {
		placed = banServices
	}
	s := newSite(rec, p, dir, binary, zones, placed)
	result, err := play(s, trouble)
	s.end()
	code, verdict := 0, "held"
	switch {
	case err != nil:
		code, verdict = 2, fmt.Sprintf("could not run: %v", err)
	case result.broken > 0:
		code, verdict = 1, "broken"
	}
	rec.add("check", "trouble %v: the rule %s; %s", trouble, verdict, result.detail)
	fmt.Printf("%s, trouble %v: %s; %s\n", scenario, trouble, verdict, result.detail)
	if err := rec.write(recordFile); err != nil {
		fmt.Println("cannot write the record:", err)
		return 2
	}
	return code
}

// startAll starts the store with a first configuration, the endpoints and the nodes.
func startAll(s *site, tenants map[string][]string) error {
	s.store.write("config", "main", configuration(12, services, tenants))
	if err := s.store.open(); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if err := n.startEndpoint("i-" + n.name); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return s.waitReady(15 * time.Second)
}

// scaleIn takes an endpoint away: it leaves, serves on for the time of draining and ends, then its machine is removed.
func (n *node) scaleIn() {
	e := n.endpoint
	n.mu.Lock()
	n.isOut = true
	n.mu.Unlock()
	e.leave()
	go func() {
		time.Sleep(drainTime + 500*time.Millisecond)
		n.mu.Lock()
		n.endpoint = nil
		n.mu.Unlock()
		e.crash()
		n.signal(syscall.SIGTERM)
	}()
}

// Bounds of the site file shifted/tpcw-mesh-now-grown.toml.
const (
	drainTime    = 2500 * time.Millisecond
	configTime   = 2500 * time.Millisecond
	evacuateTime = 5 * time.Second
	stableWindow = 3 * time.Second
	coldRate     = 7.7
	coldOverage  = 1.5
	coldSlack    = 8
	// crashRate is the number of requests in a second, well above coldRate, at which a cold endpoint crashes.
	crashRate  = 30
	coldTime   = 3 * time.Second
	settleTime = 8 * time.Second
	trafficGap = 20 * time.Millisecond
	// gateGap gives each of the three endpoints of yardgate the share of the site: 223 requests a second for five.
	gateGap = 7 * time.Millisecond
	// maxRetries is how many retries of a request that crashes endpoints may reach endpoints after the third crash.
	maxRetries    = 3
	storeAwayTime = time.Second
	shortAwayTime = 120 * time.Millisecond
	// lingerTime is how long an endpoint serves on after its leave was acknowledged.
	lingerTime = 14 * time.Second
)

// evacuation: a zone was evacuated shortly before the store came back from a copy. Later another zone is evacuated.
func evacuation(s *site, trouble bool) (outcome, error) {
	if err := startAll(s, map[string][]string{"roofers": {"key-roofers"}}); err != nil {
		return outcome{}, err
	}
	stop := make(chan struct{})
	wg := s.traffic(stop, services, []string{"key-roofers"}, trafficGap)
	defer func() {
		close(stop)
		wg.Wait()
	}()
	time.Sleep(settleTime)
	copied := s.store.copy()
	// Planned work: an endpoint of each service is taken away, and a zone is emptied and taken back.
	for _, i := range []int{1, 5, 7, 10} {
		s.nodes[i].scaleIn()
	}
	time.Sleep(time.Second)
	s.store.write("evacuations", "annex-b", map[string]any{})
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.add("store", "away")
		s.store.close()
		time.Sleep(storeAwayTime)
		s.store.restore(copied)
		if err := s.store.open(); err != nil {
			return outcome{}, err
		}
		// What the operator wrote is written again.
		s.store.write("evacuations", "annex-b", map[string]any{})
	}
	time.Sleep(3 * time.Second)
	s.store.remove("evacuations", "annex-b")
	time.Sleep(time.Second)
	s.store.write("evacuations", "river-rd", map[string]any{})
	acknowledged := time.Now()
	time.Sleep(evacuateTime + 12*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := outcome{}
	last := time.Duration(0)
	for _, r := range s.runs {
		if r.zone == "river-rd" && r.at.Sub(acknowledged) > evacuateTime {
			o.broken++
			last = r.at.Sub(acknowledged)
		}
	}
	o.detail = fmt.Sprintf("%d requests reached endpoints in river-rd later than %v after the acknowledgement of its evacuation, the last one %.1f s after it; answers by status: %v",
		o.broken, evacuateTime, last.Seconds(), s.status)
	return o, nil
}

// revoke: an endpoint has left shortly before the store came back from a copy. A key is taken away right after that.
func revoke(s *site, trouble bool) (outcome, error) {
	tenants := map[string][]string{"roofers": {"key-roofers"}, "scrapyard": {"key-scrap-1", "key-scrap-2"}}
	if err := startAll(s, tenants); err != nil {
		return outcome{}, err
	}
	stop := make(chan struct{})
	wg := s.traffic(stop, services, []string{"key-roofers", "key-scrap-1", "key-scrap-2"}, trafficGap)
	defer func() {
		close(stop)
		wg.Wait()
	}()
	time.Sleep(settleTime)
	copied := s.store.copy()
	// Planned work: an endpoint is taken away.
	s.nodes[5].scaleIn()
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.add("store", "away")
		s.store.close()
		time.Sleep(shortAwayTime)
		s.store.restore(copied)
	}
	// The operator takes a key away. Its call is the first one that the store answers again.
	tenants["scrapyard"] = []string{"key-scrap-1"}
	s.store.write("config", "main", configuration(15, services, tenants))
	acknowledged := time.Now()
	if trouble {
		if err := s.store.open(); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(stableWindow + configTime + 15*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := outcome{}
	last := time.Duration(0)
	for _, r := range s.runs {
		if after := r.sentAt.Sub(acknowledged); s.keys[r.id] == "key-scrap-2" && after > stableWindow+configTime {
			o.broken++
			last = after
		}
	}
	o.detail = fmt.Sprintf("%d requests with the key that was taken away ran although they were sent later than %v after the acknowledgement, the last one %.1f s after it; answers by status: %v",
		o.broken, stableWindow+configTime, last.Seconds(), s.status)
	return o, nil
}

// departure: an endpoint left shortly before the store came back from a copy. Then all processes of the system are
// killed at once, and a heartbeat that the endpoint sent before it left arrives late. With LOSE=0 in the environment
// the store is not disturbed, but the processes are killed all the same.
func departure(s *site, trouble bool) (outcome, error) {
	if err := startAll(s, map[string][]string{"roofers": {"key-roofers"}}); err != nil {
		return outcome{}, err
	}
	stop := make(chan struct{})
	wg := s.traffic(stop, services, []string{"key-roofers"}, trafficGap)
	defer func() {
		close(stop)
		wg.Wait()
	}()
	time.Sleep(settleTime)
	copied := s.store.copy()
	time.Sleep(2 * time.Second)
	leaving := s.nodes[5].endpoint
	late := leaving.delayedHeartbeat()
	if !leaving.leave() {
		return outcome{}, fmt.Errorf("the leave was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(time.Second)
	if trouble && os.Getenv("LOSE") != "0" {
		s.rec.add("store", "away")
		s.store.close()
		time.Sleep(shortAwayTime)
		s.store.restore(copied)
		if err := s.store.open(); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(time.Second)
	if trouble {
		s.rec.add("site", "all processes of the system are killed")
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return outcome{}, err
			}
		}
	}
	restarted := time.Now()
	time.Sleep(2 * time.Second)
	s.rec.add("endpoint", "a heartbeat of %s from before it left arrives: %v", leaving.instance, late())
	if err := s.waitReady(10 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(time.Until(acknowledged.Add(lingerTime)))
	leaving.crash()
	s.nodes[5].mu.Lock()
	s.nodes[5].endpoint = nil
	s.nodes[5].mu.Unlock()
	s.rec.add("endpoint", "%s ends", leaving.instance)
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := outcome{}
	first, last := time.Duration(0), time.Duration(0)
	for _, r := range s.runs {
		if after := r.at.Sub(acknowledged); r.instance == leaving.instance && after > drainTime && r.sentAt.Sub(restarted) > stableWindow+time.Second {
			if o.broken == 0 {
				first = after
			}
			o.broken++
			last = after
		}
	}
	o.detail = fmt.Sprintf("%d requests reached %s later than %v after its leave was acknowledged, from machines in touch, the first %.1f s and the last %.1f s after it; answers by status: %v",
		o.broken, leaving.instance, drainTime, first.Seconds(), last.Seconds(), s.status)
	return o, nil
}

// cold: an endpoint becomes cold again while it serves. It says so in its next heartbeat and in its health answers.
func cold(s *site, trouble bool) (outcome, error) {
	if err := startAll(s, map[string][]string{"roofers": {"key-roofers"}}); err != nil {
		return outcome{}, err
	}
	stop := make(chan struct{})
	wg := s.traffic(stop, []string{"yardgate"}, []string{"key-roofers"}, gateGap)
	time.Sleep(settleTime)
	e := s.nodes[len(s.nodes)-1].endpoint
	if trouble {
		s.rec.add("endpoint", "%s becomes cold for %v", e.instance, coldTime)
		e.becomeCold(coldTime, crashRate)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	o := outcome{}
	most, bound := mostInASecond(e.arrivals), coldRate*coldOverage+coldSlack
	if float64(most) > bound {
		o.broken = most
	}
	o.detail = fmt.Sprintf("%s got up to %d requests in a second while it was cold, %.1f are allowed; it crashed: %v; answers by status: %v",
		e.instance, most, bound, e.hasCrashed, s.status)
	return o, nil
}

// ban: a request that crashes endpoints was banned shortly before the store came back from a copy. Then all processes
// of the system are killed at once, and the request comes again at all machines. With LOSE=0 in the environment the
// store is not disturbed, but the processes are killed all the same.
func ban(s *site, trouble bool) (outcome, error) {
	if err := startAll(s, map[string][]string{"roofers": {"key-roofers"}}); err != nil {
		return outcome{}, err
	}
	stop := make(chan struct{})
	wg := s.traffic(stop, banServices, []string{"key-roofers"}, trafficGap)
	defer func() {
		close(stop)
		wg.Wait()
	}()
	time.Sleep(settleTime)
	copied := s.store.copy()
	for i := range 8 {
		s.sendTo(s.nodes[i], "yardgate", crashingPath, "key-roofers")
		time.Sleep(400 * time.Millisecond)
	}
	before := s.crashes()
	time.Sleep(time.Second)
	if trouble && os.Getenv("LOSE") != "0" {
		s.rec.add("store", "away")
		s.store.close()
		time.Sleep(shortAwayTime)
		s.store.restore(copied)
		if err := s.store.open(); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		s.rec.add("site", "all processes of the system are killed")
		for _, n := range s.nodes {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, n := range s.nodes {
			if err := n.start(); err != nil {
				return outcome{}, err
			}
		}
	}
	if err := s.waitReady(10 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(stableWindow + 3*time.Second)
	for range 4 {
		for _, n := range s.nodes {
			go s.sendTo(n, "yardgate", crashingPath, "key-roofers")
		}
		time.Sleep(4 * time.Second)
	}
	after := s.crashes()
	o := outcome{}
	if after-before > maxRetries {
		o.broken = after - before
	}
	o.detail = fmt.Sprintf("the request crashed %d endpoints before it was banned, and reached endpoints %d times more after that, %d are allowed",
		before, after-before, maxRetries)
	return o, nil
}

// crashes returns how often the request that crashes endpoints has reached one.
func (s *site) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.runs {
		if r.path == "/yardgate/"+crashingPath {
			count++
		}
	}
	return count
}
