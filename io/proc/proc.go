// Package proc runs a node as a process. It connects core/node or core/mesh to
// sockets, the system clock and the platform; fx builds and stops the parts.
//
// # Usage
//
//	err := proc.Run(ctx, settings)   // returns after a graceful shutdown
package proc

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"wagtailyoke/core/event"
	"wagtailyoke/core/invar"
	"wagtailyoke/core/node"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
	"wagtailyoke/io/conf"
	"wagtailyoke/io/httpx"
	"wagtailyoke/io/logs"
	"wagtailyoke/io/meter"
	"wagtailyoke/io/peer"
	"wagtailyoke/platform"
)

const startTimeout = 15 * time.Second

// Garbage collection settings. A node's heap is a few MB, so Go's default setting collects
// many times a second under load, and each collection delays the calls in progress.
const (
	gcPercent        = 400
	memoryLimitBytes = 200 << 20
)

// Run starts a node, waits until ctx is done and stops the node gracefully.
func Run(ctx context.Context, s *conf.Settings) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	stopLimit := time.Duration(s.Fleet.StopSeconds) * time.Second
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s),
		fx.Provide(timer.NewReal, newLog, newMeter, newChecker, newLinks, newListeners, newConfigured, newUpstreamClient, newKeys, newNode),
		fx.Invoke(serve),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopLimit+startTimeout),
	)
	if err := app.Err(); err != nil {
		return errors.Wrap(err, "node")
	}
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errors.Wrap(err, "start")
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopLimit+startTimeout)
	defer cancelStop()
	return errors.Wrap(app.Stop(stopCtx), "stop")
}

func newLog(lc fx.Lifecycle, s *conf.Settings) event.Log {
	l := logs.New(os.Stderr, s.Node.Name)
	lc.Append(fx.StopHook(l.Close))
	return l
}

func newMeter(lc fx.Lifecycle) *meter.Meter {
	m, closer := meter.New()
	lc.Append(fx.StopHook(func() error { return closeQuietly(closer) }))
	return m
}

// closeQuietly closes c and ignores the error, because the process is exiting.
func closeQuietly(c io.Closer) error {
	_ = c.Close()
	return nil
}

func newChecker(l event.Log, m *meter.Meter) *invar.Checker {
	return invar.New(func(v invar.Violation) {
		m.Violated()
		l.Log(event.InvariantBroken, event.Field{Name: "invariant", Value: v.Name.String()}, event.Field{Name: "detail", Value: v.Detail})
	})
}

func newLinks(lc fx.Lifecycle, clock timer.Service, s *conf.Settings) *peer.Links {
	links := peer.NewLinks(clock, s.Fleet.Secret)
	lc.Append(fx.StartStopHook(func() { timer.Every(clock, sweepInterval, links.Sweep) }, links.Close))
	return links
}

// listeners holds the four bound sockets. They are bound before anything runs, which
// makes an address in use a startup error.
type listeners struct {
	public, egress, peer, ops net.Listener
}

func newListeners(s *conf.Settings) (*listeners, error) {
	l := &listeners{}
	for _, want := range []struct {
		into    *net.Listener
		key     string
		address string
	}{
		{&l.public, "public", s.Listen.Public},
		{&l.egress, "egress", s.Listen.Egress},
		{&l.peer, "peer", s.Listen.Peer},
		{&l.ops, "ops", s.Listen.Ops},
	} {
		bound, err := net.Listen("tcp", want.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen.%s: choose an address of this VM that is free", want.key)
		}
		*want.into = bound
	}
	l.public = newLimitedListener(l.public, s.Listen.MaxConnections)
	return l, nil
}

// incarnationOrigin is the time from which incarnations count milliseconds, which keeps
// the numbers small.
var incarnationOrigin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// configured is a channel that is closed once the node has a configuration.
type configured chan struct{}

func newConfigured() configured { return make(configured) }

func newUpstreamClient(lc fx.Lifecycle, s *conf.Settings, clock timer.Service) *httpx.Upstream {
	u := httpx.NewUpstream(s.Upstream.Address, clock)
	lc.Append(fx.StartStopHook(func() { timer.Every(clock, sweepInterval, u.Sweep) }, u.Close))
	return u
}

func newKeys(lc fx.Lifecycle, s *conf.Settings, clock timer.Service) *platform.Keys {
	keys := platform.NewKeys(s.Platform.URL, time.Duration(s.Platform.TimeoutMs)*time.Millisecond)
	lc.Append(fx.StartStopHook(func() { timer.Every(clock, sweepInterval, keys.Sweep) }, keys.Close))
	return keys
}

func newNode(s *conf.Settings, clock timer.Service, links *peer.Links, u *httpx.Upstream, keys *platform.Keys, l event.Log, m *meter.Meter, checks *invar.Checker, c configured) *node.Node {
	seeds := make([]world.Address, 0, len(s.Fleet.Seeds))
	for _, seed := range s.Fleet.Seeds {
		seeds = append(seeds, world.Address(seed))
	}
	return node.New(node.Dependencies{
		Info: node.Info{
			Name:        world.NodeID(s.Node.Name),
			Domain:      world.DomainID(s.Node.Domain),
			Service:     world.ServiceID(s.Node.Service),
			Public:      world.Address(s.Listen.Public),
			Peer:        world.Address(s.Listen.Peer),
			Ops:         world.Address(s.Listen.Ops),
			Incarnation: uint64(time.Since(incarnationOrigin).Milliseconds()),
		},
		Options: node.Options{
			Seeds:     seeds,
			StopLimit: time.Duration(s.Fleet.StopSeconds) * time.Second,
		},
		Clock:      clock,
		Random:     rand.New(rand.NewSource(seed())),
		Tokens:     newToken,
		Links:      links,
		Upstream:   u,
		Platform:   keys,
		Metrics:    m,
		Events:     l,
		Checks:     checks,
		Configured: func() { close(c) },
	})
}

func seed() int64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	var n int64
	for _, x := range b {
		n = n<<8 | int64(x)
	}
	return n
}

// newToken returns a cryptographically random context token.
func newToken() string {
	var b [16]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Limits of the HTTP listeners.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// serve starts the listeners and the node. On stop, the node finishes its calls before
// the listeners close, so that no call is interrupted.
func serve(lc fx.Lifecycle, s *conf.Settings, l *listeners, n *node.Node, m *meter.Meter, clock timer.Service, c configured) {
	var stopping atomic.Bool
	public := newServer(httpx.NewFront(n.ServePublic, stopping.Load))
	egress := newServer(httpx.NewFront(n.ServeEgress, func() bool { return false }))
	ops := newServer(httpx.NewOps(n, s.Fleet.Secret, m.Handler()))
	var links *peer.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			// The node starts first: its listeners deliver calls as soon as they serve.
			n.Start()
			go func() {
				// Until the node has a configuration, connections wait in the kernel's accept queue.
				<-c
				_ = public.Serve(l.public)
			}()
			go func() { _ = egress.Serve(l.egress) }()
			go func() { _ = ops.Serve(l.ops) }()
			var err error
			links, err = peer.Listen(l.peer, s.Fleet.Secret, clock, n)
			return err
		},
		OnStop: func(ctx context.Context) error {
			stopping.Store(true)
			idle := make(chan struct{})
			n.Stop(func() { close(idle) })
			select {
			case <-idle:
			case <-ctx.Done():
			}
			return shutdown(ctx, public, egress, links, ops)
		},
	})
}

type stopper interface {
	Shutdown(ctx context.Context) error
}

func shutdown(ctx context.Context, all ...stopper) error {
	var firstErr error
	for _, s := range all {
		if err := s.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}
