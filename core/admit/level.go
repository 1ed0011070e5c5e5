package admit

import (
	"math"
	"sync"
	"time"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
)

// LevelOptions configures a Level. Zero fields take their defaults.
type LevelOptions struct {
	// Window is the interval at which the level changes.
	Window time.Duration
	// Decay is how much the level falls in each window without shedding.
	Decay float64
}

// MaxLevel is below the highest level, so that some of the most important calls are still admitted
// and show when a service has recovered.
const MaxLevel = float64(world.ImportanceCount) - 0.05

// Level is the admission level of a service, computed from the calls that it sheds. Its integer
// part is the importance class that is partly shed, its fraction the share of that class to shed.
// Classes below are shed, classes above are admitted. 0 sheds nothing.
type Level struct {
	clock   timer.Service
	options LevelOptions

	mu          sync.Mutex
	value       float64
	windowStart time.Duration
	// offered and shed count the calls of the current window. The smoothed counts span several
	// windows, because a call that is shed after a wait was offered some windows earlier.
	offered, shed             [world.ImportanceCount]int
	smoothOffered, smoothShed [world.ImportanceCount]float64
	// raisedAt is when the level last rose.
	raisedAt time.Duration
}

// levelSmoothing is the weight of the newest window in the smoothed counts.
const levelSmoothing = 0.3

// settleWindows is the number of windows between two rises within a class. Until callers apply the
// first rise and the smoothed counts show it, a second one would count the same shedding again.
const settleWindows = 4

// NewLevel returns a level of 0.
func NewLevel(clock timer.Service, options LevelOptions) *Level {
	if options.Window == 0 {
		options.Window = 100 * time.Millisecond
	}
	setDefault(&options.Decay, 0.06)
	return &Level{clock: clock, options: options, windowStart: clock.Now(), raisedAt: clock.Now() - settleWindows*options.Window}
}

// CountOffered counts an arriving call.
func (l *Level) CountOffered(i world.Importance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow()
	l.offered[i]++
}

// CountShed counts a call that was shed for lack of capacity.
func (l *Level) CountShed(i world.Importance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shed[i]++
}

// Value returns the level.
func (l *Level) Value() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow()
	return l.value
}

// advanceWindow updates the level if the current window is over, and starts the next one.
func (l *Level) advanceWindow() {
	elapsed := l.clock.Now() - l.windowStart
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
	l.windowStart = l.clock.Now()
	l.offered = [world.ImportanceCount]int{}
	l.shed = [world.ImportanceCount]int{}
}

func (l *Level) raise(boundary int, share float64) {
	now := l.clock.Now()
	isSettled := now-l.raisedAt >= settleWindows*l.options.Window
	if !isSettled && float64(boundary) <= math.Floor(l.value) {
		return
	}
	l.value = math.Min(combine(l.value, boundary, share), MaxLevel)
	l.raisedAt = now
}

func (l *Level) smooth(windows float64) {
	remaining := math.Pow(1-levelSmoothing, windows)
	for c := range l.offered {
		l.smoothOffered[c] = remaining*l.smoothOffered[c] + levelSmoothing*float64(l.offered[c])
		l.smoothShed[c] = remaining*l.smoothShed[c] + levelSmoothing*float64(l.shed[c])
	}
}

// minShedShare is the share of all calls below which shedding is ignored as noise.
const minShedShare = 0.01

// boundary returns the class at which the served calls end, counted from the most important class
// down, and the share of that class to shed. ok is false in a window without shedding, so that a
// level falls as soon as shedding ends.
func (l *Level) boundary() (class int, share float64, ok bool) {
	offered, shed, shedNow := 0.0, 0.0, 0
	for c := range l.offered {
		offered += l.smoothOffered[c]
		shed += l.smoothShed[c]
		shedNow += l.shed[c]
	}
	if shedNow == 0 || shed < minShedShare*offered {
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

// combine returns the level after a further share of the boundary class is shed. Callers already
// apply the current level, so the share refers to the calls that passed it.
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

// RouteLevels holds, for each route, the admission level that replies from downstream report.
type RouteLevels struct {
	clock timer.Service

	mu     sync.Mutex
	routes map[world.RouteID]*routeLevel
}

type routeLevel struct {
	value     float64
	updatedAt time.Duration
}

// Constants of RouteLevels.
const (
	// routeLevelDecay is how much a level falls in a second without replies.
	routeLevelDecay = 0.5
	// routeLevelRiseWeight and routeLevelFallWeight are the weights of a reported level that is
	// higher or lower than the current one.
	routeLevelRiseWeight = 0.3
	routeLevelFallWeight = 0.1
)

// NewRouteLevels returns a level of 0 for all routes.
func NewRouteLevels(clock timer.Service) *RouteLevels {
	return &RouteLevels{clock: clock, routes: map[world.RouteID]*routeLevel{}}
}

// Report updates a route's level with the one that a reply carried.
func (p *RouteLevels) Report(route world.RouteID, level float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.decayed(route)
	weight := routeLevelFallWeight
	if level > r.value {
		weight = routeLevelRiseWeight
	}
	r.value += weight * (level - r.value)
}

// Level returns the level of a route.
func (p *RouteLevels) Level(route world.RouteID) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decayed(route).value
}

// decayed returns the level of a route after its decay since the last update.
func (p *RouteLevels) decayed(route world.RouteID) *routeLevel {
	now := p.clock.Now()
	r := p.routes[route]
	if r == nil {
		r = &routeLevel{updatedAt: now}
		p.routes[route] = r
	}
	r.value = math.Max(0, r.value-routeLevelDecay*(now-r.updatedAt).Seconds())
	r.updatedAt = now
	return r
}

// IsShed reports whether a call of the class is shed at the level. random is uniform in [0, 1).
func IsShed(class world.Importance, level, random float64) bool {
	boundary := math.Floor(level)
	if float64(class) != boundary {
		return float64(class) < boundary
	}
	return random < level-boundary
}
