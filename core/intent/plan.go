package intent

import (
	"encoding/json"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// Plan holds intents and their effect until an operator confirms them. It is valid only
// while the configuration is at version Base.
type Plan struct {
	ID      string              `json:"id"`
	Base    world.ConfigVersion `json:"base"`
	UnixMs  int64               `json:"unixMs"`
	Intents []Intent            `json:"intents"`
	Effect  Effect              `json:"effect"`
}

// ErrPlanOutdated means that the configuration has changed since the plan was made.
var ErrPlanOutdated = errors.New("plan is void")

// PlanKey returns the key of a plan in the object store.
func PlanKey(id string) string { return PlanPrefix + id }

// PlanPrefix is the prefix of the object store keys of all plans.
const PlanPrefix = "plan/"

// NewPlan applies intents to a copy of the configuration and returns a plan with their effect.
func NewPlan(id string, unixMs int64, current *Config, intents []Intent) (*Plan, error) {
	_, effect, err := Apply(current, intents)
	if err != nil {
		return nil, err
	}
	return &Plan{ID: id, Base: current.Version, UnixMs: unixMs, Intents: intents, Effect: effect}, nil
}

// Encode returns the plan as JSON, as it is stored.
func (p *Plan) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodePlan parses a stored plan.
func DecodePlan(value []byte) (*Plan, error) {
	p := &Plan{}
	if err := json.Unmarshal(value, p); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	return p, nil
}

// Confirm returns the configuration that results from applying the plan to the current
// one. It returns ErrPlanOutdated if the plan was made for another version.
func (p *Plan) Confirm(current *Config, unixMs int64) (*Config, error) {
	if current.Version != p.Base {
		return nil, errors.Wrapf(ErrPlanOutdated, "made for version %d, but the current version is %d: %s",
			p.Base, current.Version, current.lastSummary())
	}
	next, effect, err := Apply(current, p.Intents)
	if err != nil {
		return nil, err
	}
	next.Record(Change{ID: p.ID, Version: current.Version + 1, UnixMs: unixMs, Summary: p.Summary(), Inverse: effect.Inverse})
	return next.buildIndex(), nil
}

// Summary returns the first line of the plan's effect, noting whether there are more.
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
