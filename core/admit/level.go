package admit

import (
	"math"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// LevelOptions tunes a Level. The zero value takes the defaults.
type LevelOptions struct {
	Window time.Duration
	// Decay is how much a level falls in a window without shedding.
	Decay float64
}

// MaxLevel keeps a part of the most important calls flowing, so that a service
// that has recovered is noticed.
const MaxLevel = float64(world.ImportanceCount) - 0.05

// Level is the admission level of a service. Its whole part is the importance
// class that is partly shed; its fraction is the share of that class to shed.
// Classes below are shed, classes above are admitted. 0 sheds nothing.
type Level struct {
	clock   timer.Service
	options LevelOptions

	mu    sync.Mutex
	value float64
	start time.Duration
	// offered and shed count the current window, the others smooth over windows: a
	// call that is shed after a wait was offered some windows earlier.
	offered, shed             [world.ImportanceCount]int
	smoothOffered, smoothShed [world.ImportanceCount]float64
	// raised is when the level last rose.
	raised time.Duration
}

// levelSmoothing is the weight of the newest window.
const levelSmoothing = 0.3

// settleWindows is the number of windows between two rises within a class: until
// callers apply the first and the smoothed counts show it, the second would count the
// same shedding again.
const settleWindows = 4

// NewLevel returns a level of 0.
func NewLevel(clock timer.Service, options LevelOptions) *Level {
	if options.Window == 0 {
		options.Window = 100 * time.Millisecond
	}
	setDefault(&options.Decay, 0.06)
	return &Level{clock: clock, options: options, start: clock.Now(), raised: clock.Now() - settleWindows*options.Window}
}

// Offered counts a call that came.
func (l *Level) Offered(i world.Importance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll()
	l.offered[i]++
}

// Shed counts a call that was shed for lack of capacity.
func (l *Level) Shed(i world.Importance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shed[i]++
}

// Value returns the level.
func (l *Level) Value() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roll()
	return l.value
}

func (l *Level) roll() {
	elapsed := l.clock.Now() - l.start
	if elapsed < l.options.Window {
		return
	}
	windows := float64(elapsed / l.options.Window)
	l.smooth(windows)
	if boundary, share, ok := l.boundary(); ok {
		l.raise(boundary, share)
		windows--
	}
	l.value = math.Max(0, l.value-windows*l.options.Decay)
	l.start = l.clock.Now()
	l.offered = [world.ImportanceCount]int{}
	l.shed = [world.ImportanceCount]int{}
}

func (l *Level) raise(boundary int, share float64) {
	now := l.clock.Now()
	isSettled := now-l.raised >= settleWindows*l.options.Window
	if !isSettled && float64(boundary) <= math.Floor(l.value) {
		return
	}
	l.value = math.Min(combine(l.value, boundary, share), MaxLevel)
	l.raised = now
}

func (l *Level) smooth(windows float64) {
	keep := math.Pow(1-levelSmoothing, windows)
	for c := range l.offered {
		l.smoothOffered[c] = keep*l.smoothOffered[c] + levelSmoothing*float64(l.offered[c])
		l.smoothShed[c] = keep*l.smoothShed[c] + levelSmoothing*float64(l.shed[c])
	}
}

// leastShare is the share of all calls below which shedding is taken as noise.
const leastShare = 0.01

// boundary finds the class up to which the served calls reach, counted from the
// most important class, and the share of that class to shed. It answers only in a
// window with shedding, so that a level falls as soon as shedding ends.
func (l *Level) boundary() (class int, share float64, ok bool) {
	offered, shed, now := 0.0, 0.0, 0
	for c := range l.offered {
		offered += l.smoothOffered[c]
		shed += l.smoothShed[c]
		now += l.shed[c]
	}
	if now == 0 || shed < leastShare*offered {
		return 0, 0, false
	}
	served := math.Max(offered-shed, 0)
	for c := len(l.offered) - 1; c >= 0; c-- {
		if l.smoothOffered[c] > served {
			return c, 1 - served/l.smoothOffered[c], true
		}
		served -= l.smoothOffered[c]
	}
	return 0, 0, false
}

// combine adds a share to shed to a level that callers already apply: what was
// offered is only what they let through.
func combine(value float64, boundary int, share float64) float64 {
	class := math.Floor(value)
	switch {
	case float64(boundary) == class:
		return class + 1 - (1-(value-class))*(1-share)
	case float64(boundary) > class:
		return float64(boundary) + share
	default:
		return value
	}
}

// RouteLevels keeps, for each route, the level that replies report from below.
type RouteLevels struct {
	clock timer.Service

	mu     sync.Mutex
	routes map[world.RouteID]*reported
}

type reported struct {
	value float64
	at    time.Duration
}

// Tuning of Pressure.
const (
	// pressureDecay is how much a level falls in a second without replies.
	pressureDecay = 0.5
	pressureRise  = 0.3
	pressureFall  = 0.1
)

// NewRouteLevels returns a pressure of 0 for all routes.
func NewRouteLevels(clock timer.Service) *RouteLevels {
	return &RouteLevels{clock: clock, routes: map[world.RouteID]*reported{}}
}

// Report takes in the level that a reply carried.
func (p *RouteLevels) Report(route world.RouteID, level float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.decayed(route)
	weight := pressureFall
	if level > r.value {
		weight = pressureRise
	}
	r.value += weight * (level - r.value)
}

// Level returns the route's level.
func (p *RouteLevels) Level(route world.RouteID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decayed(route).value
}

func (p *RouteLevels) decayed(route world.RouteID) *reported {
	now := p.clock.Now()
	r := p.routes[route]
	if r == nil {
		r = &reported{at: now}
		p.routes[route] = r
	}
	r.value = math.Max(0, r.value-pressureDecay*(now-r.at).Seconds())
	r.at = now
	return r
}

// IsShed decides whether a call of the class goes at the level; draw is uniform in [0, 1).
func IsShed(class world.Importance, level, draw float64) bool {
	boundary := math.Floor(level)
	if float64(class) != boundary {
		return float64(class) < boundary
	}
	return draw < level-boundary
}
