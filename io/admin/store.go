// Package admin implements the command line: commands that plan and confirm
// configuration changes, show the fleet's status and run a node.
//
// # Usage
//
//	os.Exit(admin.Main(os.Args[1:], os.Stdout, os.Stderr))
package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"wagtailyoke/core/intent"
	"wagtailyoke/core/node"
	"wagtailyoke/core/store"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
	"wagtailyoke/io/httpx"
	"wagtailyoke/platform"
)

const platformTimeout = 3 * time.Second

// fleetClient gives commands access to the platform and the nodes.
type fleetClient struct {
	platform *platform.Keys
	secret   string
	http     *http.Client
}

func newFleetClient(o *options) *fleetClient {
	const statusTimeout = 2 * time.Second
	return &fleetClient{
		platform: platform.NewKeys(o.Platform, platformTimeout),
		secret:   o.Secret,
		http:     &http.Client{Timeout: statusTimeout},
	}
}

// config reads the current configuration; it is empty if none is stored.
func (f *fleetClient) config(ctx context.Context) (*intent.Config, error) {
	o, err := f.platform.GetNow(ctx, intent.ObjectKey)
	if errors.Is(err, store.ErrNotFound) {
		return intent.Empty(), nil
	}
	if err != nil {
		return nil, err
	}
	return intent.Decode(world.ConfigVersion(o.Version), o.Value)
}

// propose validates the intents and stores a plan for them.
func (f *fleetClient) propose(ctx context.Context, intents []intent.Intent) (*intent.Plan, error) {
	cfg, err := f.config(ctx)
	if err != nil {
		return nil, err
	}
	p, err := intent.NewPlan(newID(), time.Now().UnixMilli(), cfg, intents)
	if err != nil {
		return nil, err
	}
	value, err := p.Encode()
	if err != nil {
		return nil, err
	}
	_, err = f.platform.PutNow(ctx, intent.PlanKey(p.ID), 0, value)
	return p, err
}

func newID() string {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// confirmResult is the result of confirming a plan.
type confirmResult struct {
	Plan    *intent.Plan        `json:"plan"`
	Version world.ConfigVersion `json:"version"`
	// Already is set if the change was made by an earlier confirmation.
	Already bool `json:"already"`
}

const (
	maxConfirmRetries = 15
	confirmRetryDelay = time.Second
)

// confirm applies a plan's change. If the answer to a write was lost, the history shows
// whether it succeeded, so a change is applied once however often it is confirmed.
func (f *fleetClient) confirm(ctx context.Context, id string) (*confirmResult, error) {
	p, err := f.plan(ctx, id)
	if err != nil {
		return nil, err
	}
	writeUncertain := false
	for try := 0; ; try++ {
		out, err := f.tryConfirm(ctx, p)
		if err == nil {
			out.Already = out.Already && !writeUncertain
			return out, nil
		}
		if !errors.Is(err, store.ErrUnavailable) || try == maxConfirmRetries {
			return nil, err
		}
		writeUncertain = true
		time.Sleep(confirmRetryDelay)
	}
}

func (f *fleetClient) plan(ctx context.Context, id string) (*intent.Plan, error) {
	o, err := f.platform.GetNow(ctx, intent.PlanKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.Wrapf(err, "plan %q; `wagtailyoke plans` lists those that wait", id)
	}
	if err != nil {
		return nil, err
	}
	return intent.DecodePlan(o.Value)
}

func (f *fleetClient) tryConfirm(ctx context.Context, p *intent.Plan) (*confirmResult, error) {
	cfg, err := f.config(ctx)
	if err != nil {
		return nil, err
	}
	if version, ok := cfg.HasChange(p.ID); ok {
		return &confirmResult{Plan: p, Version: version, Already: true}, nil
	}
	next, err := p.Confirm(cfg, time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	version, err := f.platform.PutNow(ctx, intent.ObjectKey, uint64(cfg.Version), value)
	if errors.Is(err, store.ErrConflict) {
		return f.resolveConflict(ctx, p)
	}
	if err != nil {
		return nil, err
	}
	return &confirmResult{Plan: p, Version: world.ConfigVersion(version)}, nil
}

// resolveConflict handles a write that lost to another one. The winning write may be an
// earlier attempt for the same plan.
func (f *fleetClient) resolveConflict(ctx context.Context, p *intent.Plan) (*confirmResult, error) {
	cfg, err := f.config(ctx)
	if err != nil {
		return nil, err
	}
	if version, ok := cfg.HasChange(p.ID); ok {
		return &confirmResult{Plan: p, Version: version, Already: true}, nil
	}
	_, err = p.Confirm(cfg, 0)
	return nil, err
}

// nodes returns the announced information of all nodes.
func (f *fleetClient) nodes(ctx context.Context) ([]*wire.NodeInfo, error) {
	objects, err := f.platform.ListNow(ctx, "node/")
	if err != nil {
		return nil, err
	}
	var nodes []*wire.NodeInfo
	for _, o := range objects {
		info := &wire.NodeInfo{}
		if json.Unmarshal(o.Value, info) == nil {
			nodes = append(nodes, info)
		}
	}
	return nodes, nil
}

// status requests the status of one node.
func (f *fleetClient) status(ctx context.Context, info *wire.NodeInfo) (*node.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+info.GetOpsAddress()+"/status", nil)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	req.Header.Set(httpx.HeaderSecret, f.secret)
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status of %s: %s; check --secret", info.GetName(), resp.Status)
	}
	s := &node.Status{}
	return s, errors.Wrap(json.NewDecoder(resp.Body).Decode(s), "status")
}

// statuses requests the status of all nodes concurrently, by name. Nodes that do not
// answer are left out.
func (f *fleetClient) statuses(ctx context.Context, nodes []*wire.NodeInfo) map[string]*node.Status {
	type answer struct {
		name   string
		status *node.Status
	}
	answers := make(chan answer)
	for _, info := range nodes {
		go func() {
			s, err := f.status(ctx, info)
			if err != nil {
				s = nil
			}
			answers <- answer{info.GetName(), s}
		}()
	}
	all := map[string]*node.Status{}
	for range nodes {
		a := <-answers
		if a.status != nil {
			all[a.name] = a.status
		}
	}
	return all
}
