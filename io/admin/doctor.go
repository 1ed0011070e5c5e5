package admin

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/once"
	"wagtailyoke/io/conf"
)

// finding is the result of one check.
type finding struct {
	Check string `json:"check"`
	OK    bool   `json:"ok"`
	Note  string `json:"note"`
}

// ErrUnhealthy means that a check of doctor failed.
var ErrUnhealthy = errors.New("a check failed")

// Execute implements flags.Commander.
func (c *doctorCommand) Execute([]string) error {
	findings := c.runChecks(c.app.ctx)
	failed := false
	for _, f := range findings {
		failed = failed || !f.OK
		if !c.app.options.JSON {
			c.app.print("%-10s %-5s %s", f.Check, map[bool]string{true: "ok", false: "FAIL"}[f.OK], f.Note)
		}
	}
	if c.app.options.JSON {
		if err := c.app.printJSON(findings); err != nil {
			return err
		}
	}
	if failed {
		return ErrUnhealthy
	}
	return nil
}

func (c *doctorCommand) runChecks(ctx context.Context) []finding {
	var findings []finding
	if c.Config != "" {
		findings = append(findings, checkSettings(c.Config)...)
	}
	f := c.app.fleet()
	start := time.Now()
	cfg, err := f.config(ctx)
	if err != nil {
		return append(findings, finding{"platform", false, err.Error() + "; check --platform"})
	}
	findings = append(findings, finding{"platform", true, "answers in " + time.Since(start).Round(time.Millisecond).String()})
	findings = append(findings, finding{"config", len(cfg.Domains) > 0, configNote(len(cfg.Domains))})
	nodes, err := f.nodes(ctx)
	if err != nil {
		return append(findings, finding{"nodes", false, err.Error()})
	}
	statuses := f.statuses(ctx, nodes)
	for _, info := range nodes {
		if statuses[info.GetName()] == nil {
			findings = append(findings, finding{"node", false, info.GetName() + " does not answer at " + info.GetOpsAddress() + "; check --secret and the VM"})
		}
	}
	return append(findings, checkClock())
}

func configNote(domains int) string {
	if domains == 0 {
		return "no failure domains are set: wagtailyoke domain set NAME…"
	}
	return "failure domains are set"
}

func checkSettings(file string) []finding {
	s, err := conf.Load(file)
	if err != nil {
		return []finding{{"settings", false, err.Error()}}
	}
	findings := []finding{{"settings", true, file + " is valid"}}
	for _, address := range []string{s.Listen.Public, s.Listen.Egress, s.Listen.Peer, s.Listen.Ops} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			findings = append(findings, finding{"listener", false, address + " cannot be bound: " + err.Error()})
			continue
		}
		_ = l.Close()
		findings = append(findings, finding{"listener", true, address + " is free"})
	}
	return findings
}

// checkClock compares the system clock with the earliest date of time-based
// idempotency keys. With a wrong date, every such key is invalid.
func checkClock() finding {
	earliest := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := time.Now()
	if now.Before(earliest) {
		return finding{"clock", false, "the date is " + now.Format(time.RFC3339) + "; set it"}
	}
	return finding{"clock", true, "idempotency keys allow a difference of " + once.MaxClockSkew.String() + " between clocks"}
}
