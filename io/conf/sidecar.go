package conf

import "fmt"

// Sidecar holds the settings of a mesh node, which `wagtailyoke sidecar` runs.
type Sidecar struct {
	Node     Node            `toml:"node"`
	Listen   SidecarListen   `toml:"listen"`
	Upstream Upstream        `toml:"upstream"`
	Platform SidecarPlatform `toml:"platform"`
	Retry    SidecarRetry    `toml:"retry"`
	Quota    SidecarQuota    `toml:"quota"`
	Cold     SidecarCold     `toml:"cold"`
	Evacuate SidecarEvacuate `toml:"evacuate"`
	Stop     SidecarStop     `toml:"stop"`
	Limits   SidecarLimits   `toml:"limits"`
	// Regions holds the region of each failure domain. It is needed only where routes or customers are
	// restricted to regions.
	Regions map[string]string `toml:"regions"`
}

// SidecarListen holds the addresses of the listeners.
type SidecarListen struct {
	// Calls accepts calls from the callers on this VM and from its upstream.
	Calls string `toml:"calls"`
	Peer  string `toml:"peer"`
	// PeerAnnounced is the address at which other nodes reach Peer, if it differs, for
	// example behind a forwarded port.
	PeerAnnounced string `toml:"peerAnnounced"`
	// Ready serves the platform's readiness check.
	Ready string `toml:"ready"`
	// Heartbeats accepts the upstream's heartbeats.
	Heartbeats string `toml:"heartbeats"`
	Metrics    string `toml:"metrics"`
}

// SidecarPlatform is the platform's object store.
type SidecarPlatform struct {
	Address string `toml:"address"`
}

// SidecarRetry bounds the retries to a service across all nodes.
type SidecarRetry struct {
	// Ratio is a fraction of the calls to the service in a window; Slack is a number of
	// calls per window.
	Ratio         float64 `toml:"ratio"`
	Slack         float64 `toml:"slack"`
	WindowSeconds float64 `toml:"windowSeconds"`
}

// SidecarQuota bounds how far customers may exceed their rates across all nodes.
type SidecarQuota struct {
	// Overage is a fraction of the requests in a window; Slack is a number of requests
	// per window.
	WindowSeconds float64 `toml:"windowSeconds"`
	Overage       float64 `toml:"overage"`
	Slack         float64 `toml:"slack"`
}

// SidecarCold bounds the calls to an upstream that has just started.
type SidecarCold struct {
	// A cold upstream may receive Overage times the calls that its service accepts in a second, plus
	// Slack. An Overage of 0 sets no bound.
	Overage float64 `toml:"overage"`
	Slack   float64 `toml:"slack"`
}

// SidecarEvacuate describes evacuations of failure domains.
type SidecarEvacuate struct {
	// WithinMs is the time within which an evacuation is in force at all nodes. With 0, nodes do not
	// follow evacuations.
	WithinMs int `toml:"withinMs"`
}

// SidecarStop bounds a graceful shutdown.
type SidecarStop struct {
	GraceSeconds float64 `toml:"graceSeconds"`
}

// SidecarLimits are the limits of the process.
type SidecarLimits struct {
	MemoryMb int `toml:"memoryMb"`
}

// LoadSidecar reads and validates a settings file of a sidecar.
func LoadSidecar(file string) (*Sidecar, error) { return load(file, ParseSidecar) }

// ParseSidecar decodes and validates the text of a settings file of a sidecar.
func ParseSidecar(file string, text []byte) (*Sidecar, error) {
	return parse(file, text, (*checker).checkSidecar)
}

func (c *checker) checkSidecar(s *Sidecar) {
	c.checkName("node", "name", s.Node.Name)
	c.checkName("node", "domain", s.Node.Domain)
	c.checkName("node", "service", s.Node.Service)
	c.checkAddress("listen", "calls", s.Listen.Calls)
	c.checkAddress("listen", "peer", s.Listen.Peer)
	if s.Listen.PeerAnnounced == "" {
		s.Listen.PeerAnnounced = s.Listen.Peer
	}
	c.checkAddress("listen", "peerAnnounced", s.Listen.PeerAnnounced)
	c.checkAddress("listen", "ready", s.Listen.Ready)
	c.checkAddress("listen", "heartbeats", s.Listen.Heartbeats)
	c.checkAddress("listen", "metrics", s.Listen.Metrics)
	c.checkAddress("upstream", "address", s.Upstream.Address)
	c.checkAddress("platform", "address", s.Platform.Address)
	c.checkFloatRange("retry", "ratio", s.Retry.Ratio, 0, 1)
	c.checkFloatRange("retry", "slack", s.Retry.Slack, 0, 1e6)
	c.checkFloatRange("retry", "windowSeconds", s.Retry.WindowSeconds, 1, 3600)
	c.checkFloatRange("quota", "windowSeconds", s.Quota.WindowSeconds, 1, 3600)
	c.checkFloatRange("quota", "overage", s.Quota.Overage, 0, 1)
	c.checkFloatRange("quota", "slack", s.Quota.Slack, 0, 1e6)
	c.checkFloatRange("cold", "overage", s.Cold.Overage, 0, 100)
	c.checkFloatRange("cold", "slack", s.Cold.Slack, 0, 1e6)
	c.checkIntRange("evacuate", "withinMs", s.Evacuate.WithinMs, 0, 3600_000)
	c.checkFloatRange("stop", "graceSeconds", s.Stop.GraceSeconds, 4, 600)
	c.checkIntRange("limits", "memoryMb", s.Limits.MemoryMb, 64, 1<<20)
}

func (c *checker) checkFloatRange(section, key string, value, minValue, maxValue float64) {
	if !(value >= minValue && value <= maxValue) {
		c.addFault(section, key, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", minValue, maxValue))
	}
}
