package intent

import (
	"encoding/json"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// Plan is an intent's effect, waiting for an operator to confirm it. It holds only
// as long as the configuration has the version that it was made for.
type Plan struct {
	ID      string              `json:"id"`
	Base    world.ConfigVersion `json:"base"`
	UnixMs  int64               `json:"unixMs"`
	Intents []Intent            `json:"intents"`
	Effect  Effect              `json:"effect"`
}

// ErrPlanOutdated means that the configuration changed after the plan was made.
var ErrPlanOutdated = errors.New("plan is void")

// PlanKey is the platform's key of a plan.
func PlanKey(id string) string { return PlanPrefix + id }

// PlanPrefix is the prefix of all plans' keys.
const PlanPrefix = "plan/"

// NewPlan checks intents against a configuration.
func NewPlan(id string, unixMs int64, current *Config, intents []Intent) (*Plan, error) {
	_, effect, err := Apply(current, intents)
	if err != nil {
		return nil, err
	}
	return &Plan{ID: id, Base: current.Version, UnixMs: unixMs, Intents: intents, Effect: effect}, nil
}

// Encode returns the stored form.
func (p *Plan) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodePlan reads the stored form.
func DecodePlan(value []byte) (*Plan, error) {
	p := &Plan{}
	if err := json.Unmarshal(value, p); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return p, nil
}

// Confirm returns the configuration that the plan makes of the current one.
// A plan made for another version is void.
func (p *Plan) Confirm(current *Config, unixMs int64) (*Config, error) {
	if current.Version != p.Base {
		return nil, errors.Wrapf(ErrPlanOutdated, "made for version %d, but version %d is in force: %s",
			p.Base, current.Version, current.lastSummary())
	}
	next, effect, err := Apply(current, p.Intents)
	if err != nil {
		return nil, err
	}
	next.Record(Change{ID: p.ID, Version: current.Version + 1, UnixMs: unixMs, Summary: p.Summary(), Inverse: effect.Inverse})
	return next.index(), nil
}

// Summary is the first line of the plan's effect.
func (p *Plan) Summary() string {
	if len(p.Effect.Lines) == 0 {
		return "no change"
	}
	if len(p.Effect.Lines) == 1 {
		return p.Effect.Lines[0]
	}
	return p.Effect.Lines[0] + " (and more)"
}

func (c *Config) lastSummary() string {
	if len(c.History) == 0 {
		return "no change is recorded"
	}
	last := c.History[len(c.History)-1]
	return "change " + last.ID + ": " + last.Summary
}
