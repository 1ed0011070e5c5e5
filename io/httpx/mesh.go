package httpx

import (
	"net"
	"net/http"

	"github.com/gin-gonic/gin"

	"wagtailyoke/core/mesh"
	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
)

// Dialect maps between the HTTP headers that the callers of a mesh use and its calls and
// refusals.
type Dialect interface {
	// Read parses a request except for its body. It returns false if the request cannot be
	// identified.
	Read(r *http.Request) (mesh.Incoming, bool)
	// DressRefusal sets the headers of a refusal by the node.
	DressRefusal(h http.Header, id world.RequestID, r *world.Reply)
}

// MeshNode is the node behind a listener for callers.
type MeshNode interface {
	Serve(in mesh.Incoming, done func(*world.Reply)) (cancel func())
	Limits() (table.Limits, bool)
	IsStopping() bool
}

// NewMeshFront returns the handler of the listener for callers and for the node's upstream.
func NewMeshFront(n MeshNode, dialect Dialect) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	f := &meshFront{node: n, dialect: dialect}
	engine.NoRoute(f.handle)
	engine.NoMethod(f.handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer resetIfAborted(w, r)
		engine.ServeHTTP(w, r)
	})
}

type meshFront struct {
	node    MeshNode
	dialect Dialect
}

func (f *meshFront) handle(c *gin.Context) {
	w, r := c.Writer, c.Request
	in, ok := f.dialect.Read(r)
	if !ok {
		f.write(w, in.Call.ID, world.Refuse(http.StatusBadRequest, world.CodeBadRequest, world.RunNo, 0), nil)
		return
	}
	if limits, ok := f.node.Limits(); ok && limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limits.BodyBytes)
	}
	data, upload, length, err := body.Read(w, r)
	if err != nil {
		f.write(w, in.Call.ID, bodyRefusal(err), nil)
		return
	}
	in.Call.Body, in.Call.Rest, in.Call.Length = data, upload.Rest(), length
	body.DropHopHeaders(in.Call.Header)
	in.Call.Header.Del("Content-Length")
	answer := body.NewAnswer()
	cancel := f.node.Serve(in, answer.Set)
	select {
	case reply := <-answer.Replies():
		f.write(w, in.Call.ID, reply, upload)
	case <-r.Context().Done():
		cancel()
		answer.Abandon()
	}
}

func (f *meshFront) write(w http.ResponseWriter, id world.RequestID, r *world.Reply, upload *body.Upload) {
	h := w.Header()
	if r.IsRefusal() {
		f.closeIfStopping(h)
		upload.BeginReply(h)
		f.dialect.DressRefusal(h, id, r)
		writeProblemBody(w, r)
		upload.EndReply(w)
		return
	}
	for name, values := range r.Header {
		h[name] = values
	}
	// Hop-by-hop fields of another node's reply are for the connection to that node.
	body.DropHopHeaders(h)
	f.closeIfStopping(h)
	body.Write(w, r, upload)
}

func (f *meshFront) closeIfStopping(h http.Header) {
	if f.node.IsStopping() {
		h.Set("Connection", "close")
	}
}

// resetIfAborted resets the connection of a caller of HTTP/1.0 whose reply is aborted. A reply in chunks shows that it
// has no end; one of HTTP/1.0 ends with its connection, and a regular close would make it look complete.
func resetIfAborted(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	reason := recover()
	if reason == nil {
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(reason)
}
