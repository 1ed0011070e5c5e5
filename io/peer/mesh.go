package peer

import (
	"context"
	"encoding/base64"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
	"wagtailyoke/io/hops"
)

// Settings of the connections between the nodes of a mesh.
const (
	// meshDial bounds a new connection: a node in reach answers within some milliseconds.
	meshDial = 300 * time.Millisecond
	// meshSilence is how long sent bytes may stay unacknowledged, so that a call to a
	// node that is cut off ends well before usual deadlines.
	meshSilence = 700 * time.Millisecond
	// meshIdle is how long an unused connection is kept.
	meshIdle       = 20 * time.Second
	meshIdlePeer   = 64
	meshIdleServer = 30 * time.Second
)

// MeshLinks implements mesh.Links over sockets.
type MeshLinks struct {
	clock timer.Service
	calls *hops.Pool
	pool  *drpcpool.Pool[string, drpcpool.Conn]
}

// NewMeshLinks returns links without connections.
func NewMeshLinks(clock timer.Service) *MeshLinks {
	return &MeshLinks{
		clock: clock,
		calls: hops.New(hops.Options{
			Dial:           meshDial,
			Idle:           meshIdle,
			IdlePerAddress: meshIdlePeer,
			Silence:        meshSilence,
			Whole:          body.WholeBytes,
			Matches:        func(*hops.Request, http.Header) bool { return true },
		}),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTime,
			Capacity:    idleTotal,
			KeyCapacity: idleControls,
		}),
	}
}

// Sweep closes connections that were unused for long.
func (l *MeshLinks) Sweep() { l.calls.Sweep() }

// Close ends all idle connections.
func (l *MeshLinks) Close() error {
	l.calls.Close()
	return errors.Wrap(l.pool.Close(), "control connections")
}

// Forward implements mesh.Links.
func (l *MeshLinks) Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func()) {
	meta, err := proto.Marshal(metaOf(c, l.clock))
	if err != nil {
		done(nil, errors.Wrap(world.ErrNotSent, err.Error()))
		return func() {}
	}
	header := c.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(headerCall, base64.StdEncoding.EncodeToString(meta))
	req := hops.Request{
		Address: string(to),
		Method:  c.Method,
		URI:     c.Path,
		Host:    string(to),
		Header:  header,
		Body:    c.Body,
		Rest:    c.Rest,
		Length:  c.Length,
	}
	return l.calls.Do(req, func(resp *hops.Response, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		reply, err := readReply(c.ID, resp.Status, resp.Header, resp.Body)
		if err != nil {
			if resp.Rest != nil {
				_ = resp.Rest.Close()
			}
			done(nil, err)
			return
		}
		reply.Rest, reply.Length = resp.Rest, resp.Length
		done(reply, nil)
	})
}

func (l *MeshLinks) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := hops.NewDialer(meshDial, meshSilence).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(world.ErrNotSent, err.Error())
	}
	if _, err := raw.Write([]byte(drpcmigrate.DRPCHeader)); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "control connection")
	}
	return drpcconn.New(raw), nil
}

// control runs one control call. A connection on which a call failed is not used again.
func control[R proto.Message](l *MeshLinks, to world.Address, timeout time.Duration, call func(context.Context, wire.DRPCFleetClient) (R, error), done func(R, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		conn := l.pool.Get(ctx, string(to), l.dial)
		reply, err := call(ctx, wire.NewDRPCFleetClient(conn))
		_ = conn.Close()
		if err != nil {
			err = errors.Wrap(world.ErrBroken, err.Error())
		}
		done(reply, err)
	}()
}

// Exchange implements mesh.Links.
func (l *MeshLinks) Exchange(to world.Address, req *wire.ExchangeRequest, timeout time.Duration, done func(*wire.ExchangeReply, error)) {
	control(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.ExchangeReply, error) {
		return c.Exchange(ctx, req)
	}, done)
}

// FetchTable implements mesh.Links.
func (l *MeshLinks) FetchTable(to world.Address, timeout time.Duration, done func(*wire.TableReply, error)) {
	control(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.TableReply, error) {
		return c.Table(ctx, &wire.TableRequest{})
	}, done)
}

// RequestTokens implements mesh.Links.
func (l *MeshLinks) RequestTokens(to world.Address, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	control(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.TokenReply, error) {
		return c.Tokens(ctx, req)
	}, done)
}

// MeshHandler is the node behind a MeshServer.
type MeshHandler interface {
	ServePeer(c *world.Call, done func(*world.Reply)) (cancel func())
	HandleExchange(req *wire.ExchangeRequest) *wire.ExchangeReply
	HandleTable() *wire.TableReply
	HandleTokens(req *wire.TokenRequest) *wire.TokenReply
}

// MeshServer is the listener of a node for other nodes.
type MeshServer struct {
	clock   timer.Service
	handler MeshHandler
	http    *http.Server
	cancel  context.CancelFunc
}

// ListenMesh starts a listener for other nodes on a bound socket.
func ListenMesh(base net.Listener, clock timer.Service, handler MeshHandler) (*MeshServer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &MeshServer{clock: clock, handler: handler, cancel: cancel}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFleet(mux, &fleetServer{handler: handler}); err != nil {
		cancel()
		return nil, errors.Wrap(err, "fleet service")
	}
	listener := drpcmigrate.NewListenMux(base, len(drpcmigrate.DRPCHeader))
	route := listener.Route(drpcmigrate.DRPCHeader)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveForward),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       meshIdleServer,
	}
	server := drpcserver.New(mux)
	go func() { _ = listener.Run(ctx) }()
	go func() { _ = server.Serve(ctx, route) }()
	go func() { _ = s.http.Serve(listener.Default()) }()
	return s, nil
}

// Shutdown stops the listener once its calls have ended.
func (s *MeshServer) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.cancel()
	return errors.Wrap(err, "peer listener")
}

func (s *MeshServer) serveForward(w http.ResponseWriter, r *http.Request) {
	c, err := callOf(r, s.clock)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.Path = r.RequestURI
	if c.Body, c.Rest, c.Length, err = body.Read(r); err != nil {
		panic(http.ErrAbortHandler)
	}
	body.DropHopHeaders(c.Header)
	c.Header.Del("Content-Length")
	awaitReply(r, c, s.handler.ServePeer, func(reply *world.Reply) { s.answer(w, c.ID, reply) })
}

func (s *MeshServer) answer(w http.ResponseWriter, id world.RequestID, reply *world.Reply) {
	h := w.Header()
	if err := dressReply(h, id, reply); err != nil {
		panic(http.ErrAbortHandler)
	}
	body.DropHopHeaders(h)
	if h.Get("Date") == "" {
		// The server would add one: bytes between failure domains cost.
		h["Date"] = nil
	}
	body.Write(w, reply)
}

// fleetServer serves drpc calls through the handler.
type fleetServer struct {
	handler MeshHandler
}

func (s *fleetServer) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.handler.HandleExchange(req), nil
}

func (s *fleetServer) Table(context.Context, *wire.TableRequest) (*wire.TableReply, error) {
	return s.handler.HandleTable(), nil
}

func (s *fleetServer) Tokens(_ context.Context, req *wire.TokenRequest) (*wire.TokenReply, error) {
	return s.handler.HandleTokens(req), nil
}
