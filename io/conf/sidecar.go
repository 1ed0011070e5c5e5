package conf

import "fmt"

// Sidecar holds the settings of a node of a mesh, see `wagtailyoke sidecar`.
type Sidecar struct {
	Node     Node            `toml:"node"`
	Listen   SidecarListen   `toml:"listen"`
	Upstream Upstream        `toml:"upstream"`
	Platform SidecarPlatform `toml:"platform"`
	Retry    SidecarRetry    `toml:"retry"`
	Quota    SidecarQuota    `toml:"quota"`
	Stop     SidecarStop     `toml:"stop"`
	Limits   SidecarLimits   `toml:"limits"`
}

// SidecarListen holds the addresses of the listeners.
type SidecarListen struct {
	// Calls is for the callers on this VM and its upstream.
	Calls string `toml:"calls"`
	Peer  string `toml:"peer"`
	// PeerAnnounced is where other nodes reach Peer, if not there itself, as behind a
	// port that is passed on.
	PeerAnnounced string `toml:"peerAnnounced"`
	// Ready is where the platform asks whether callers may come.
	Ready string `toml:"ready"`
	// Heartbeats is where the upstream announces itself.
	Heartbeats string `toml:"heartbeats"`
	Metrics    string `toml:"metrics"`
}

// SidecarPlatform is the platform's store.
type SidecarPlatform struct {
	Address string `toml:"address"`
}

// SidecarRetry bounds retries to a service over all nodes.
type SidecarRetry struct {
	// Ratio is of the calls to the service, Slack a number of calls, each in a window.
	Ratio         float64 `toml:"ratio"`
	Slack         float64 `toml:"slack"`
	WindowSeconds float64 `toml:"windowSeconds"`
}

// SidecarQuota is how far customers may exceed their rates over all nodes.
type SidecarQuota struct {
	// Overage is of the requests of a window, Slack a number of requests in one.
	WindowSeconds float64 `toml:"windowSeconds"`
	Overage       float64 `toml:"overage"`
	Slack         float64 `toml:"slack"`
}

// SidecarStop bounds a graceful shutdown.
type SidecarStop struct {
	GraceSeconds float64 `toml:"graceSeconds"`
}

// SidecarLimits are the limits of the process.
type SidecarLimits struct {
	MemoryMb int `toml:"memoryMb"`
}

// LoadSidecar reads and checks a settings file of a sidecar.
func LoadSidecar(file string) (*Sidecar, error) { return load(file, ParseSidecar) }

// ParseSidecar checks the text of a settings file of a sidecar.
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
	c.checkFloatRange("stop", "graceSeconds", s.Stop.GraceSeconds, 4, 600)
	c.checkIntRange("limits", "memoryMb", s.Limits.MemoryMb, 64, 1<<20)
}

func (c *checker) checkFloatRange(section, key string, value, minValue, maxValue float64) {
	if !(value >= minValue && value <= maxValue) {
		c.addFault(section, key, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", minValue, maxValue))
	}
}
