package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
)

// checkCommand compares the responses to callers of reservations with the upstreams'
// logs. It fails if a reservation ran twice, was lost, or was reported as not run although
// it ran.
type checkCommand struct {
	Dir     string `long:"dir" required:"true"`
	Records string `long:"records" required:"true"`
}

// upstreamLog is the response of an upstream's /control/log.
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
	started, completed, err := readLogs(d)
	if err != nil {
		return err
	}
	return c.compare(started, completed)
}

// readLogs counts the executions that started and that completed, by idempotency key. It
// returns an error if an upstream received a customer's key.
func readLogs(d *deployment) (started, completed map[string]int, err error) {
	started, completed = map[string]int{}, map[string]int{}
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
			return nil, nil, fmt.Errorf("upstream %s received a customer's key", e.Name)
		}
		for _, entry := range log.Ran {
			if entry.Key == "" {
				continue
			}
			started[entry.Key]++
			if entry.Done {
				completed[entry.Key]++
			}
		}
	}
	return started, completed, nil
}

func (c *checkCommand) compare(started, completed map[string]int) error {
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
		case started[r.Key] > 1:
			twice++
		case r.OK && completed[r.Key] != 1:
			lost++
		case r.OK:
			ok++
		case started[r.Key] > 0 && allNotRun(r.Runs):
			falselyRefused++
		case started[r.Key] > 0:
			unknown++
		}
	}
	fmt.Printf("%d reservations: %d confirmed and run once; run twice %d, lost %d, falsely refused as not run %d; run state unknown to the caller but run %d\n",
		keys, ok, twice, lost, falselyRefused, unknown)
	if twice+lost+falselyRefused > 0 {
		return fmt.Errorf("reservations were run twice, lost or falsely reported as not run")
	}
	return nil
}

func allNotRun(runs []string) bool {
	for _, run := range runs {
		if run != "no" {
			return false
		}
	}
	return true
}
