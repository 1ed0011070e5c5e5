package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
	"wagtailyoke/io/hops"
)

// Links implements node.Links over sockets.
type Links struct {
	clock       timer.Service
	secret      string
	transport   *hops.Pool
	controlPool *drpcpool.Pool[string, drpcpool.Conn]
}

// Limits of the connection pools.
const (
	maxIdleForwardsPerHost = 64
	maxIdleControlsPerPeer = 4
	maxIdleControls        = 512
	controlIdleTimeout     = time.Minute
)

// NewLinks returns links that authenticate with the fleet's secret.
func NewLinks(clock timer.Service, secret string) *Links {
	return &Links{
		clock:     clock,
		secret:    secret,
		transport: NewTransport(maxIdleForwardsPerHost),
		controlPool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  controlIdleTimeout,
			Capacity:    maxIdleControls,
			KeyCapacity: maxIdleControlsPerPeer,
		}),
	}
}

// Sweep closes the idle connections for calls that have expired.
func (l *Links) Sweep() { l.transport.Sweep() }

// Close closes all idle connections.
func (l *Links) Close() error {
	l.transport.Close()
	return errors.Wrap(l.controlPool.Close(), "control connections")
}

func (l *Links) dialControl(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(world.ErrNotSent, err.Error())
	}
	// The secret follows the header that selects drpc on the shared listener.
	if _, err := raw.Write([]byte(drpcmigrate.DRPCHeader + padSecret(l.secret))); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "control connection")
	}
	return drpcconn.New(raw), nil
}

// Control implements node.Links.
func (l *Links) Control(to world.Address, req proto.Message, timeout time.Duration, done func(proto.Message, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		conn := l.controlPool.Get(ctx, string(to), l.dialControl)
		defer func() { _ = conn.Close() }()
		done(invoke(ctx, wire.NewDRPCControlClient(conn), req))
	}()
}

// invoke makes the drpc call for a control message. On an error it returns a nil interface,
// not one that holds a nil reply.
func invoke(ctx context.Context, c wire.DRPCControlClient, req proto.Message) (proto.Message, error) {
	var reply proto.Message
	var err error
	switch m := req.(type) {
	case *wire.BeatRequest:
		reply, err = c.Beat(ctx, m)
	case *wire.ConfigRequest:
		reply, err = c.Config(ctx, m)
	case *wire.TestifyRequest:
		reply, err = c.Testify(ctx, m)
	case *wire.BeginRequest:
		reply, err = c.Begin(ctx, m)
	case *wire.FinishRequest:
		reply, err = c.Finish(ctx, m)
	case *wire.PrepareRequest:
		reply, err = c.Prepare(ctx, m)
	case *wire.HandoverRequest:
		reply, err = c.Handover(ctx, m)
	case *wire.Notice:
		reply, err = c.Spread(ctx, m)
	default:
		err = errors.Errorf("type %T is not a control message", req)
	}
	if err != nil {
		return nil, errors.Wrap(world.ErrBroken, err.Error())
	}
	return reply, nil
}

// Handler is the node behind a Server.
type Handler interface {
	ServePeer(c *world.Call, done func(*world.Reply)) (cancel func())
	HandleControl(req proto.Message, done func(proto.Message))
}

// Server serves calls and control messages from other nodes.
type Server struct {
	clock   timer.Service
	secret  string
	handler Handler
	http    *http.Server
	cancel  context.CancelFunc
}

// Limits of the listener.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 5 * time.Second
)

// Listen starts a Server on a bound socket.
func Listen(base net.Listener, secret string, clock timer.Service, handler Handler) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{clock: clock, secret: secret, handler: handler, cancel: cancel}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, &controlServer{handler: handler}); err != nil {
		cancel()
		return nil, errors.Wrap(err, "control service")
	}
	listener := drpcmigrate.NewListenMux(base, len(drpcmigrate.DRPCHeader))
	control := &secretListener{Listener: listener.Route(drpcmigrate.DRPCHeader), secret: secret}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveForward),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
	}
	server := drpcserver.New(mux)
	go func() { _ = listener.Run(ctx) }()
	go func() { _ = server.Serve(ctx, control) }()
	go func() { _ = s.http.Serve(listener.Default()) }()
	return s, nil
}

// Shutdown stops the listener after its calls have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.cancel()
	return errors.Wrap(err, "peer listener")
}

const secretLength = 64

// padSecret pads a secret with zero bytes to secretLength, its length on the wire.
func padSecret(secret string) string {
	padded := make([]byte, secretLength)
	copy(padded, secret)
	return string(padded)
}

// secretListener accepts connections that are closed if they do not start with the secret.
type secretListener struct {
	net.Listener
	secret string
}

func (l *secretListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &secretConn{Conn: conn, want: padSecret(l.secret)}, nil
}

// secretConn checks the secret at the first read rather than in Accept, where a client
// that sends nothing would block the listener.
type secretConn struct {
	net.Conn
	want    string
	checked bool
}

func (c *secretConn) Read(p []byte) (int, error) {
	if !c.checked {
		got := make([]byte, secretLength)
		if _, err := io.ReadFull(c.Conn, got); err != nil {
			return 0, err
		}
		if !sameSecret(string(got), c.want) {
			_ = c.Close()
			return 0, io.ErrUnexpectedEOF
		}
		c.checked = true
	}
	return c.Conn.Read(p)
}

// controlServer implements the drpc Control service with a Handler.
type controlServer struct {
	handler Handler
}

var _ drpc.Message = (*wire.BeatRequest)(nil)

func handleControl[T proto.Message](ctx context.Context, h Handler, req proto.Message) (T, error) {
	answered := make(chan proto.Message, 1)
	h.HandleControl(req, func(m proto.Message) { answered <- m })
	var zero T
	select {
	case m := <-answered:
		reply, ok := m.(T)
		if !ok {
			return zero, errors.Errorf("handler has no reply of the expected type to %T", req)
		}
		return reply, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (s *controlServer) Beat(ctx context.Context, req *wire.BeatRequest) (*wire.BeatReply, error) {
	return handleControl[*wire.BeatReply](ctx, s.handler, req)
}

func (s *controlServer) Config(ctx context.Context, req *wire.ConfigRequest) (*wire.ConfigReply, error) {
	return handleControl[*wire.ConfigReply](ctx, s.handler, req)
}

func (s *controlServer) Testify(ctx context.Context, req *wire.TestifyRequest) (*wire.TestifyReply, error) {
	return handleControl[*wire.TestifyReply](ctx, s.handler, req)
}

func (s *controlServer) Begin(ctx context.Context, req *wire.BeginRequest) (*wire.BeginReply, error) {
	return handleControl[*wire.BeginReply](ctx, s.handler, req)
}

func (s *controlServer) Finish(ctx context.Context, req *wire.FinishRequest) (*wire.FinishReply, error) {
	return handleControl[*wire.FinishReply](ctx, s.handler, req)
}

func (s *controlServer) Prepare(ctx context.Context, req *wire.PrepareRequest) (*wire.PrepareReply, error) {
	return handleControl[*wire.PrepareReply](ctx, s.handler, req)
}

func (s *controlServer) Handover(ctx context.Context, req *wire.HandoverRequest) (*wire.HandoverReply, error) {
	return handleControl[*wire.HandoverReply](ctx, s.handler, req)
}

func (s *controlServer) Spread(ctx context.Context, req *wire.Notice) (*wire.NoticeReply, error) {
	return handleControl[*wire.NoticeReply](ctx, s.handler, req)
}
