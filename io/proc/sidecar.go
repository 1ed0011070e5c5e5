package proc

import (
	"bytes"
	"context"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"wagtailyoke/core/event"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/mesh"
	"wagtailyoke/core/share"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
	"wagtailyoke/io/conf"
	"wagtailyoke/io/hops"
	"wagtailyoke/io/httpx"
	"wagtailyoke/io/logs"
	"wagtailyoke/io/meter"
	"wagtailyoke/io/peer"
	"wagtailyoke/platform"
)

// Connection, timing and memory settings of a sidecar.
const (
	// upstreamDialTimeout bounds connecting to the upstream, which is on the same VM.
	upstreamDialTimeout = 300 * time.Millisecond
	// upstreamAckTimeout is how long sent bytes may stay unacknowledged by the upstream.
	upstreamAckTimeout = time.Second
	// upstreamIdleTimeout is how long an idle connection is kept if the upstream does not
	// announce its own idle timeout.
	upstreamIdleTimeout = 8 * time.Second
	// maxIdlePerUpstream bounds the idle connections to the upstream.
	maxIdlePerUpstream = 256
	// storeTimeout bounds a call to the object store, except calls that wait for a change.
	storeTimeout = 1500 * time.Millisecond
	// sweepInterval is how often connections that were idle too long are closed.
	sweepInterval = 2 * time.Second
	// clientAckTimeout is how long sent bytes may stay unacknowledged by the client of a
	// listener: a caller, a peer or the platform.
	clientAckTimeout = 5 * time.Second
	// sidecarGCPercent is the heap growth between two collections, in percent. At 400, four
	// fifths of the memory are garbage, too much for a sidecar that shares the VM with its
	// upstream.
	sidecarGCPercent = 100
	// memoryLimitFraction is the fraction of the process's memory limit that is set as the
	// soft limit of the Go runtime, above which it collects more often.
	memoryLimitFraction = 0.6
	// closeTimeout bounds closing the listeners after the node has stopped.
	closeTimeout = 300 * time.Millisecond
)

// RunSidecar starts a mesh node, waits until ctx is done and stops the node gracefully.
func RunSidecar(ctx context.Context, file string, s *conf.Sidecar) error {
	debug.SetGCPercent(sidecarGCPercent)
	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMb<<20) * memoryLimitFraction))
	grace := time.Duration(s.Stop.GraceSeconds * float64(time.Second))
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, settingsFile(file)),
		fx.Provide(timer.NewReal, newSidecarLog, newMeter, newChecker, newMeshLinks, newStore, newUpstream, newMesh),
		fx.Invoke(serveSidecar),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(grace),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "sidecar")
	}
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), grace)
	defer cancelStop()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}

type settingsFile string

func newSidecarLog(lc fx.Lifecycle, s *conf.Sidecar) event.Log {
	l := logs.New(os.Stdout, s.Node.Name)
	lc.Append(fx.StopHook(l.Close))
	return l
}

func newMeshLinks(lc fx.Lifecycle, clock timer.Service) *peer.MeshLinks {
	links := peer.NewMeshLinks(clock, platform.ReadNotice)
	lc.Append(fx.StopHook(links.Close))
	return links
}

func newStore(lc fx.Lifecycle, s *conf.Sidecar) *platform.Store {
	objects := platform.NewStore(s.Platform.Address, storeTimeout)
	lc.Append(fx.StopHook(objects.Close))
	return objects
}

// upstreamClient is the client of the upstream and its connection pool.
type upstreamClient struct {
	*platform.Upstream
	pool *hops.Pool
}

func newUpstream(s *conf.Sidecar, clock timer.Service) *upstreamClient {
	pool := hops.New(hops.Options{
		Dial:           upstreamDialTimeout,
		Idle:           upstreamIdleTimeout,
		IdlePerAddress: maxIdlePerUpstream,
		Silence:        upstreamAckTimeout,
		Whole:          body.WholeBytes,
		Matches:        platform.AnswersCall,
		Key:            platform.CallKey,
		IsRefusal:      platform.IsNotExecuted,
	})
	return &upstreamClient{Upstream: platform.NewUpstream(s.Upstream.Address, clock, pool), pool: pool}
}

func newMesh(s *conf.Sidecar, clock timer.Service, links *peer.MeshLinks, u *upstreamClient, objects *platform.Store, l event.Log, m *meter.Meter, checks *invar.Checker) *mesh.Node {
	return mesh.New(mesh.Dependencies{
		Info: mesh.Info{
			Name:            world.NodeID(s.Node.Name),
			Domain:          world.DomainID(s.Node.Domain),
			Service:         world.ServiceID(s.Node.Service),
			PeerAddress:     world.Address(s.Listen.PeerAnnounced),
			UpstreamAddress: world.Address(s.Upstream.Address),
			Started:         clock.Wall(),
		},
		Options: mesh.Options{
			RetryRatio:  s.Retry.Ratio,
			RetrySlack:  s.Retry.Slack,
			RetryWindow: time.Duration(s.Retry.WindowSeconds * float64(time.Second)),
			QuotaTolerance: share.Tolerance{
				Window:  time.Duration(s.Quota.WindowSeconds * float64(time.Second)),
				Overage: s.Quota.Overage,
				Slack:   s.Quota.Slack,
			},
			ColdTolerance:  mesh.ColdTolerance{Overage: s.Cold.Overage, Slack: s.Cold.Slack},
			EvacuateWithin: time.Duration(s.Evacuate.WithinMs) * time.Millisecond,
			Regions:        regionsOf(s),
			GracePeriod:    time.Duration(s.Stop.GraceSeconds * float64(time.Second)),
		},
		Clock:       clock,
		Random:      rand.New(rand.NewSource(seed())),
		Links:       links,
		Upstream:    u,
		Store:       objects,
		DecodeTable: platform.DecodeTable,
		Metrics:     m,
		Events:      l,
		Checks:      checks,
	})
}

func regionsOf(s *conf.Sidecar) map[world.DomainID]world.RegionID {
	regions := make(map[world.DomainID]world.RegionID, len(s.Regions))
	for domain, region := range s.Regions {
		regions[world.DomainID(domain)] = world.RegionID(region)
	}
	return regions
}

// listen binds a socket. Keep-alives and ackTimeout make its connections fail when the
// other side stops responding.
func listen(key, address string, ackTimeout time.Duration) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: hops.KeepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return hops.SetSilence(raw, ackTimeout)
		},
	}
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen.%s: choose an address of this VM that is free", key)
}

// sidecarListeners holds the bound sockets.
type sidecarListeners struct {
	calls, peer, ready, heartbeats, metrics net.Listener
}

func bindSidecarListeners(s *conf.Sidecar) (*sidecarListeners, error) {
	l := &sidecarListeners{}
	for _, want := range []struct {
		into    *net.Listener
		key     string
		address string
	}{
		{&l.calls, "calls", s.Listen.Calls},
		{&l.peer, "peer", s.Listen.Peer},
		{&l.ready, "ready", s.Listen.Ready},
		{&l.heartbeats, "heartbeats", s.Listen.Heartbeats},
		{&l.metrics, "metrics", s.Listen.Metrics},
	} {
		bound, err := listen(want.key, want.address, clientAckTimeout)
		if err != nil {
			return nil, err
		}
		*want.into = bound
	}
	return l, nil
}

// serveSidecar starts the listeners and the node. On stop, the node finishes its calls
// before the listeners close, so that no call is interrupted.
func serveSidecar(lc fx.Lifecycle, s *conf.Sidecar, file settingsFile, n *mesh.Node, links *peer.MeshLinks, u *upstreamClient, objects *platform.Store, m *meter.Meter, clock timer.Service, l event.Log) error {
	sockets, err := bindSidecarListeners(s)
	if err != nil {
		return err
	}
	calls := newServer(httpx.NewMeshFront(n, platform.Dialect{}))
	limitIdle(calls, clock, func() time.Duration { return callerIdleTimeout(n) }, maxIdleConns())
	ready := newServer(platform.NewReady(n.IsReady))
	heartbeats := newServer(platform.NewHeartbeats(n, l))
	metrics := newServer(m.Handler())
	settingsReloader := &reloader{file: string(file), apply: func(next *conf.Sidecar) { objects.Move(next.Platform.Address) }, log: l}
	var peers *peer.MeshServer
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			// The node starts first: its listeners deliver calls as soon as they serve.
			n.Start()
			for server, listener := range map[*http.Server]net.Listener{calls: sockets.calls, ready: sockets.ready, heartbeats: sockets.heartbeats, metrics: sockets.metrics} {
				go func() { _ = server.Serve(listener) }()
			}
			var err error
			peers, err = peer.ListenMesh(sockets.peer, clock, n)
			timer.Every(clock, sweepInterval, func() {
				u.pool.Sweep()
				links.Sweep()
				objects.Sweep()
			})
			settingsReloader.start(clock)
			return err
		},
		OnStop: func(ctx context.Context) error {
			idle := make(chan struct{})
			n.Stop(func() { close(idle) })
			select {
			case <-idle:
			case <-ctx.Done():
			}
			closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			err := shutdown(closing, calls, peers, ready, heartbeats, metrics)
			if errors.Is(err, context.DeadlineExceeded) {
				// The node has no calls left, so only idle connections remain.
				return nil
			}
			return err
		},
	})
	return nil
}

// callerIdleTimeout returns how long a connection of a caller may be idle.
func callerIdleTimeout(n *mesh.Node) time.Duration {
	if limits, ok := n.Limits(); ok && limits.IdleTimeout > 0 {
		return limits.IdleTimeout
	}
	return idleTimeout
}

// reloader applies the settings file whenever its content changes.
type reloader struct {
	file  string
	apply func(*conf.Sidecar)
	log   event.Log

	mu      sync.Mutex
	content []byte
}

// reloadInterval is how often the settings file is read, since it may change without a SIGHUP.
const reloadInterval = time.Second

func (r *reloader) start(clock timer.Service) {
	// The file was readable at startup. If it cannot be read now, content stays empty and
	// the next successful read counts as a change.
	r.content, _ = os.ReadFile(r.file)
	timer.Every(clock, reloadInterval, r.reloadIfChanged)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			r.reloadIfChanged()
		}
	}()
}

func (r *reloader) reloadIfChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := os.ReadFile(r.file)
	if err != nil || bytes.Equal(text, r.content) {
		return
	}
	r.content = text
	s, err := conf.ParseSidecar(r.file, text)
	if err != nil {
		r.log.Log(event.SettingsRejected, event.Field{Name: "error", Value: err.Error()})
		return
	}
	r.apply(s)
	r.log.Log(event.SettingsReloaded, event.Field{Name: "file", Value: r.file})
}
