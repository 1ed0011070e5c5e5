package node

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/event"
	"wagtailyoke/core/intent"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/store"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
)

// Timing of the distribution of the configuration.
const (
	configRetry   = time.Second
	configTimeout = time.Second
)

func (n *Node) configVersion() world.ConfigVersion { return versionOf(n.config.Load()) }

// versionOf returns a configuration's version, or 0 for nil.
func versionOf(cfg *intent.Config) world.ConfigVersion {
	if cfg == nil {
		return 0
	}
	return cfg.Version
}

func (n *Node) configAge() time.Duration {
	return n.Clock.Now() - time.Duration(n.configConfirmedAt.Load())
}

// fetchConfig reads the configuration from the platform, with retries until the node
// has one. A node with a leader gets it through heartbeats.
func (n *Node) fetchConfig() {
	if n.configVersion() > 0 {
		return
	}
	n.Platform.Get(intent.ObjectKey, func(o store.Object, err error) {
		if err == nil {
			n.installObject(o)
			return
		}
		n.Clock.After(configRetry, n.fetchConfig)
	})
}

// watchConfig waits for newer versions while this node leads.
func (n *Node) watchConfig(epoch world.Epoch) {
	r := n.role.Load()
	if r == nil || r.epoch != epoch {
		return
	}
	sent := n.Clock.Now()
	n.Platform.Watch(intent.ObjectKey, uint64(n.configVersion()), func(o store.Object, err error) {
		if err != nil && !errors.Is(err, store.ErrUnchanged) {
			n.Clock.After(tickPeriod, func() { n.watchConfig(epoch) })
			return
		}
		n.recordConfigConfirmed(sent)
		if err == nil {
			n.installObject(o)
		}
		n.watchConfig(epoch)
	})
}

func (n *Node) recordConfigConfirmed(at time.Duration) {
	for {
		old := n.configConfirmedAt.Load()
		if int64(at) <= old || n.configConfirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

func (n *Node) installObject(o store.Object) {
	n.install(world.ConfigVersion(o.Version), o.Value)
}

// install puts a configuration in force if it is newer and valid.
func (n *Node) install(version world.ConfigVersion, value []byte) {
	if version <= n.configVersion() {
		return
	}
	cfg, err := intent.Decode(version, value)
	if err != nil {
		n.Events.Log(event.ConfigRejected, event.Field{Name: "version", Value: version}, event.Field{Name: "error", Value: err.Error()})
		return
	}
	for {
		old := n.config.Load()
		if versionOf(old) >= version {
			return
		}
		if n.config.CompareAndSwap(old, cfg) {
			n.Checks.That(versionOf(old) < version, invar.ConfigMonotonic, "version %d replaced by %d", versionOf(old), version)
			break
		}
	}
	n.Events.Log(event.ConfigInstalled, event.Field{Name: "version", Value: version})
	n.configured.Do(n.Configured)
	if r := n.role.Load(); r != nil {
		r.ledger.ApplyConfig(cfg, 0)
	}
	n.requestHeartbeat()
}

// followConfigVersion compares the version in a heartbeat's reply with the own one, and
// fetches the configuration from the sender if that has a newer one.
func (n *Node) followConfigVersion(reply *wire.BeatReply, from world.Address, sent time.Duration) {
	theirs := world.ConfigVersion(reply.GetConfigVersion())
	if theirs > n.configVersion() {
		n.fetchFrom(from)
		return
	}
	if theirs == n.configVersion() {
		n.recordConfigConfirmed(sent - time.Duration(reply.GetConfigAgeMs())*time.Millisecond)
	}
}

// fetchNewerConfig fetches the configuration from the sender of a heartbeat if that has
// a newer one.
func (n *Node) fetchNewerConfig(req *wire.BeatRequest) {
	if world.ConfigVersion(req.GetConfigVersion()) > n.configVersion() {
		n.fetchFrom(world.Address(req.GetNode().GetPeerAddress()))
	}
}

func (n *Node) fetchFrom(from world.Address) {
	n.control(from, &wire.ConfigRequest{}, configTimeout, func(m proto.Message, err error) {
		reply, ok := m.(*wire.ConfigReply)
		if err == nil && ok {
			n.install(world.ConfigVersion(reply.GetVersion()), reply.GetValue())
		}
	})
}

func (n *Node) handleConfig() *wire.ConfigReply {
	cfg := n.config.Load()
	if cfg == nil {
		return &wire.ConfigReply{}
	}
	value, err := cfg.Encode()
	if err != nil {
		return &wire.ConfigReply{}
	}
	return &wire.ConfigReply{Version: uint64(cfg.Version), Value: value}
}
