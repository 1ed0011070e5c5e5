package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
)

// checkCommand compares what callers of reservations were told with what the
// upstreams ran: nothing twice, nothing lost, nothing falsely refused.
type checkCommand struct {
	Dir     string `long:"dir" required:"true"`
	Records string `long:"records" required:"true"`
}

// upstreamLog is the answer of an upstream's /control/log.
type upstreamLog struct {
	SawKey bool        `json:"sawKey"`
	Ran    []execution `json:"ran"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	d, err := readDeployment(c.Dir)
	if err != nil {
		return err
	}
	began, done, err := readLogs(d)
	if err != nil {
		return err
	}
	return c.compare(began, done)
}

// readLogs counts, per idempotency key, the runs that began and that ended.
func readLogs(d *deployment) (began, done map[string]int, err error) {
	began, done = map[string]int{}, map[string]int{}
	for _, e := range d.Endpoints {
		resp, err := http.Get("http://" + e.Upstream + "/control/log")
		if err != nil {
			return nil, nil, err
		}
		log := upstreamLog{}
		err = json.NewDecoder(resp.Body).Decode(&log)
		_ = resp.Body.Close()
		if err != nil {
			return nil, nil, err
		}
		if log.SawKey {
			return nil, nil, fmt.Errorf("upstream %s saw a customer's key", e.Name)
		}
		for _, entry := range log.Ran {
			if entry.Key == "" {
				continue
			}
			began[entry.Key]++
			if entry.Done {
				done[entry.Key]++
			}
		}
	}
	return began, done, nil
}

func (c *checkCommand) compare(began, done map[string]int) error {
	in, err := os.Open(c.Records)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	keys, ok, twice, lost, falselyRefused, unknown := 0, 0, 0, 0, 0, 0
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		r := reservation{}
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return err
		}
		keys++
		switch {
		case began[r.Key] > 1:
			twice++
		case r.OK && done[r.Key] != 1:
			lost++
		case r.OK:
			ok++
		case began[r.Key] > 0 && allNo(r.Runs):
			falselyRefused++
		case began[r.Key] > 0:
			unknown++
		}
	}
	fmt.Printf("%d reservations: %d confirmed and run once; run twice %d, lost %d, falsely refused as not run %d; told \"maybe\" and run %d\n",
		keys, ok, twice, lost, falselyRefused, unknown)
	if twice+lost+falselyRefused > 0 {
		return fmt.Errorf("the promises were broken")
	}
	return nil
}

func allNo(runs []string) bool {
	for _, run := range runs {
		if run != "no" {
			return false
		}
	}
	return true
}
