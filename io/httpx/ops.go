package httpx

import (
	"crypto/subtle"
	"net/http"

	"github.com/gin-gonic/gin"

	"wagtailyoke/core/node"
	"wagtailyoke/core/wire"
)

// HeaderSecret is the header that carries the fleet's secret.
const HeaderSecret = "Wagtailyoke-Secret"

// Announcement is the JSON body of POST /upstream, in which an upstream reports its state.
type Announcement struct {
	// State is "starting", "ready" or "draining".
	State string `json:"state"`
}

var announcedStates = map[string]wire.NodeState{
	"starting": wire.NodeState_NODE_STATE_STARTING,
	"ready":    wire.NodeState_NODE_STATE_READY,
	"draining": wire.NodeState_NODE_STATE_DRAINING,
}

// OpsNode is the node behind an ops listener.
type OpsNode interface {
	Status() node.Status
	UpstreamAnnounced(state wire.NodeState)
}

// NewOps returns the handler of the ops listener. All paths except /healthz require the
// secret.
func NewOps(n OpsNode, secret string, metrics http.Handler) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusNoContent) })
	guarded := engine.Group("/", func(c *gin.Context) {
		got := c.GetHeader(HeaderSecret)
		if subtle.ConstantTimeCompare([]byte(got), []byte(secret)) != 1 {
			c.AbortWithStatus(http.StatusForbidden)
		}
	})
	guarded.GET("/metrics", gin.WrapH(metrics))
	guarded.GET("/status", func(c *gin.Context) { c.JSON(http.StatusOK, n.Status()) })
	guarded.POST("/upstream", func(c *gin.Context) { handleAnnouncement(c, n) })
	return engine
}

func handleAnnouncement(c *gin.Context, n OpsNode) {
	var a Announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	state, ok := announcedStates[a.State]
	if !ok {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	n.UpstreamAnnounced(state)
	c.Status(http.StatusNoContent)
}
