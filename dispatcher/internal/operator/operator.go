// Package operator serves the HTTP endpoints of a dispatcher for operators.
package operator

import (
	"expvar"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/control"
	"github.com/fuchsiashed/fuchsiashed/dispatcher/internal/loop"
	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/dispatch"
	"github.com/fuchsiashed/fuchsiashed/fleet/explain"
	"github.com/fuchsiashed/fuchsiashed/fleet/rpc"
)

// Config configures a Handler.
type Config struct {
	Identity    control.Identity
	Loop        *loop.Loop
	DecisionLog *explain.DecisionLog
}

// Handler serves the endpoints for operators.
type Handler struct {
	cfg Config
}

// New returns a Handler; RegisterRoutes adds its endpoints to a server.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// RegisterRoutes adds the endpoints for status, targets, customers and explain.
func (h *Handler) RegisterRoutes(r gin.IRouter) {
	r.GET(fleet.PathStatus, h.status)
	r.GET(fleet.PathTargets, h.targets)
	r.GET(fleet.PathCustomers, h.customers)
	r.GET(fleet.PathExplain+":request", h.explain)
}

func (h *Handler) status(c *gin.Context) {
	var state dispatch.Status
	h.cfg.Loop.View(func(r *dispatch.Reducer) { state = r.Status() })
	id := h.cfg.Identity
	out := fleet.ProcessStatus{
		Host: id.Host, Role: fleet.RoleDispatcher, DataCentre: id.DataCentre, Incarnation: id.Incarnation,
		Version: state.Version, Confirmed: state.Confirmed, Epoch: state.Epoch, Waiting: state.Waiting, Running: state.Running,
	}
	if state.Active {
		out.Active = id.Host
	}
	c.JSON(http.StatusOK, out)
}

func (h *Handler) targets(c *gin.Context) {
	h.listIfActive(c, func(r *dispatch.Reducer) any { return r.Targets() })
}

func (h *Handler) customers(c *gin.Context) {
	h.listIfActive(c, func(r *dispatch.Reducer) any { return r.Customers() })
}

// listIfActive responds with a list. A dispatcher without the lease responds with 503,
// since its list would contradict that of the active one.
func (h *Handler) listIfActive(c *gin.Context, list func(*dispatch.Reducer) any) {
	var answer any
	h.cfg.Loop.View(func(r *dispatch.Reducer) {
		if r.Status().Active {
			answer = list(r)
		}
	})
	if answer == nil {
		c.String(http.StatusServiceUnavailable, "dispatcher %s does not hold the lease; ask the active one", h.cfg.Identity.Host)
		return
	}
	c.JSON(http.StatusOK, answer)
}

func (h *Handler) explain(c *gin.Context) {
	c.JSON(http.StatusOK, h.cfg.DecisionLog.ForRequest(fleet.RequestID(c.Param("request"))))
}

// PublishMetrics publishes the process's metrics with expvar. A second call panics.
func PublishMetrics(traffic *rpc.Traffic, l *loop.Loop) {
	expvar.Publish("BytesRead", expvar.Func(func() any { return traffic.BytesRead() }))
	expvar.Publish("BytesWritten", expvar.Func(func() any { return traffic.BytesWritten() }))
	expvar.Publish("Dispatch", expvar.Func(func() any {
		var state dispatch.Status
		l.View(func(r *dispatch.Reducer) { state = r.Status() })
		return state
	}))
}
