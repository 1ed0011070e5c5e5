package peer

import (
	"context"
	"encoding/base64"
	"net"
	"net/http"
	"syscall"
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
	// meshDialTimeout bounds opening a connection. A reachable node accepts within a few
	// milliseconds.
	meshDialTimeout = 300 * time.Millisecond
	// meshAckTimeout is the maximum time that sent bytes may stay unacknowledged. With it,
	// a call to an unreachable node fails well before usual deadlines.
	meshAckTimeout = 700 * time.Millisecond
	// meshIdleTimeout is how long an idle connection stays open.
	meshIdleTimeout       = 20 * time.Second
	meshMaxIdlePerPeer    = 64
	meshServerIdleTimeout = 30 * time.Second
)

// ReadNotice returns what an upstream's answer says about the upstream.
type ReadNotice func(http.Header) *world.UpstreamNotice

// MeshLinks implements mesh.Links over sockets.
type MeshLinks struct {
	clock       timer.Service
	readNotice  ReadNotice
	callPool    *hops.Pool
	controlPool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewMeshLinks returns links that have no open connections yet.
func NewMeshLinks(clock timer.Service, readNotice ReadNotice) *MeshLinks {
	return &MeshLinks{
		clock:      clock,
		readNotice: readNotice,
		callPool: hops.New(hops.Options{
			Dial:           meshDialTimeout,
			Idle:           meshIdleTimeout,
			IdlePerAddress: meshMaxIdlePerPeer,
			Silence:        meshAckTimeout,
			Whole:          body.WholeBytes,
		}),
		controlPool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  controlIdleTimeout,
			Capacity:    maxIdleControls,
			KeyCapacity: maxIdleControlsPerPeer,
		}),
	}
}

// Sweep closes the idle connections for calls that have expired.
func (l *MeshLinks) Sweep() { l.callPool.Sweep() }

// Close closes all idle connections.
func (l *MeshLinks) Close() error {
	l.callPool.Close()
	return errors.Wrap(l.controlPool.Close(), "control connections")
}

// Forward implements mesh.Links.
func (l *MeshLinks) Forward(to world.Address, c *world.Call, done func(*world.Reply, error)) (cancel func()) {
	meta, err := proto.Marshal(newCallMeta(c, l.clock))
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
	return l.callPool.Do(req, func(resp *hops.Response, err error) {
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
		if !reply.IsRefusal() {
			// From the headers, because the endpoint's node may be of a version that does not know them.
			reply.Notice = l.readNotice(reply.Header)
		}
		done(reply, nil)
	})
}

func (l *MeshLinks) dialControl(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := hops.NewDialer(meshDialTimeout, meshAckTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(world.ErrNotSent, err.Error())
	}
	if _, err := raw.Write([]byte(drpcmigrate.DRPCHeader)); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "control connection")
	}
	return drpcconn.New(raw), nil
}

// callControl makes one control call in a new goroutine. A connection on which a call
// failed is not reused.
func callControl[R proto.Message](l *MeshLinks, to world.Address, timeout time.Duration, call func(context.Context, wire.DRPCFleetClient) (R, error), done func(R, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		conn := l.controlPool.Get(ctx, string(to), l.dialControl)
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
	callControl(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.ExchangeReply, error) {
		return c.Exchange(ctx, req)
	}, done)
}

// FetchTable implements mesh.Links.
func (l *MeshLinks) FetchTable(to world.Address, timeout time.Duration, done func(*wire.TableReply, error)) {
	callControl(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.TableReply, error) {
		return c.Table(ctx, &wire.TableRequest{})
	}, done)
}

// RequestTokens implements mesh.Links.
func (l *MeshLinks) RequestTokens(to world.Address, req *wire.TokenRequest, timeout time.Duration, done func(*wire.TokenReply, error)) {
	callControl(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.TokenReply, error) {
		return c.Tokens(ctx, req)
	}, done)
}

// Depart implements mesh.Links.
func (l *MeshLinks) Depart(to world.Address, notice *wire.DepartureNotice, timeout time.Duration, done func(error)) {
	callControl(l, to, timeout, func(ctx context.Context, c wire.DRPCFleetClient) (*wire.DepartureReply, error) {
		return c.Depart(ctx, notice)
	}, func(_ *wire.DepartureReply, err error) { done(err) })
}

// MeshHandler is the node behind a MeshServer.
type MeshHandler interface {
	ServePeer(c *world.Call, done func(*world.Reply)) (cancel func())
	HandleExchange(req *wire.ExchangeRequest) *wire.ExchangeReply
	HandleTable() *wire.TableReply
	HandleTokens(req *wire.TokenRequest, done func(*wire.TokenReply, error))
	HandleDepartures(notice *wire.DepartureNotice)
}

// MeshServer serves calls and control messages from other nodes.
type MeshServer struct {
	clock   timer.Service
	handler MeshHandler
	http    *http.Server
	cancel  context.CancelFunc
}

// ListenMesh starts a MeshServer on a bound socket.
func ListenMesh(base net.Listener, clock timer.Service, handler MeshHandler) (*MeshServer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &MeshServer{clock: clock, handler: handler, cancel: cancel}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFleet(mux, &fleetServer{handler: handler}); err != nil {
		cancel()
		return nil, errors.Wrap(err, "fleet service")
	}
	listener := drpcmigrate.NewListenMux(&retryListener{Listener: base}, len(drpcmigrate.DRPCHeader))
	route := listener.Route(drpcmigrate.DRPCHeader)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveForward),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       meshServerIdleTimeout,
	}
	server := drpcserver.New(mux)
	go func() { _ = listener.Run(ctx) }()
	go func() { _ = server.Serve(ctx, route) }()
	go func() { _ = s.http.Serve(listener.Default()) }()
	return s, nil
}

// acceptRetryDelay is the time between attempts to accept a connection while the process lacks descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// retryListener accepts again after errors that pass. The listener that parts calls from control messages would end
// at the first one.
type retryListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isPassing(err) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

func isPassing(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Shutdown stops the listener after its calls have ended.
func (s *MeshServer) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.cancel()
	return errors.Wrap(err, "peer listener")
}

func (s *MeshServer) serveForward(w http.ResponseWriter, r *http.Request) {
	c, err := readCallHeader(r, s.clock)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.Path = r.RequestURI
	data, upload, length, err := body.Read(w, r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.Body, c.Rest, c.Length = data, upload.Rest(), length
	body.DropHopHeaders(c.Header)
	c.Header.Del("Content-Length")
	serveAndWait(r, c, s.handler.ServePeer, func(reply *world.Reply) { s.writeReply(w, c.ID, reply, upload) })
}

func (s *MeshServer) writeReply(w http.ResponseWriter, id world.RequestID, reply *world.Reply, upload *body.Upload) {
	h := w.Header()
	if err := setReplyHeaders(h, id, reply); err != nil {
		panic(http.ErrAbortHandler)
	}
	body.DropHopHeaders(h)
	if h.Get("Date") == "" {
		// Keep net/http from adding a Date header: traffic between
		// failure domains is charged by the byte.
		h["Date"] = nil
	}
	body.Write(w, reply, upload)
}

// fleetServer implements the drpc Fleet service with a MeshHandler.
type fleetServer struct {
	handler MeshHandler
}

func (s *fleetServer) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.handler.HandleExchange(req), nil
}

func (s *fleetServer) Table(context.Context, *wire.TableRequest) (*wire.TableReply, error) {
	return s.handler.HandleTable(), nil
}

func (s *fleetServer) Tokens(ctx context.Context, req *wire.TokenRequest) (*wire.TokenReply, error) {
	type result struct {
		reply *wire.TokenReply
		err   error
	}
	results := make(chan result, 1)
	s.handler.HandleTokens(req, func(reply *wire.TokenReply, err error) { results <- result{reply, err} })
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s *fleetServer) Depart(_ context.Context, notice *wire.DepartureNotice) (*wire.DepartureReply, error) {
	s.handler.HandleDepartures(notice)
	return &wire.DepartureReply{}, nil
}
