package router

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/answer"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/engine"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/fault"
	"github.com/fuchsiashed/fuchsiashed/standin/internal/record"
)

// Headers between routers and targets.
const (
	headerRequestID      = "Fuchsiashed-Request-Id"
	headerNotRun         = "Fuchsiashed-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxBody is the largest request body in bytes.
const maxBody = 16 << 20

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Clock    fleet.Clock
	Protocol fleet.Protocol
	Engine   *engine.Engine
	Faults   *fault.State
	Record   *record.Record
	// FirstToken and TokenInterval are the timing of a model engine.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// ServiceTime is how long a call of the plain service takes.
	ServiceTime time.Duration
	// Crash ends the process.
	Crash func(why string)
	// Ordered is called after each fault order.
	Ordered func(fault.Order)
}

// Handler answers the requests of routers and the orders of tests.
type Handler struct {
	cfg HandlerConfig
}

// NewHandler makes a Handler.
func NewHandler(cfg HandlerConfig) *Handler { return &Handler{cfg: cfg} }

// Register adds the routes to an engine.
func (h *Handler) Register(r *gin.Engine) {
	r.GET("/standin/record", h.record)
	r.POST("/standin/fault", h.fault)
	r.GET("/v1/streams/:id", h.resume)
	r.DELETE("/v1/streams/:id", h.cancel)
	if h.cfg.Protocol == fleet.ProtocolModel {
		r.POST("/v1/chat/completions", h.complete)
		return
	}
	r.NoRoute(h.call)
}

// start runs the request unless a fault strikes before, and sends its answer.
func (h *Handler) start(c *gin.Context, body []byte, j engine.Job) {
	order := h.cfg.Faults.Take()
	if order.Strikes(fault.Reset, fault.Accept) {
		reset(c)
		return
	}
	if order.Strikes(fault.Crash, fault.Accept) {
		h.cfg.Crash("ordered before the run")
	}
	if order.Fault == fault.Slow {
		j.FirstDelay *= fault.SlowFactor
		j.Delay *= fault.SlowFactor
	}
	j.Run = record.Run{
		RequestID:   fleet.RequestID(c.GetHeader(headerRequestID)),
		Key:         fleet.IdempotencyKey(c.GetHeader(headerIdempotencyKey)),
		ContentHash: fleet.ContentHash(answer.ContentHash(c.Request.Method, c.Request.URL.Path, body)),
		Started:     h.cfg.Clock.Now(),
	}
	w, refusal, err := h.cfg.Engine.Start(j)
	switch {
	case refusal == engine.Overloaded:
		c.Header(headerNotRun, "true")
		c.Header("Retry-After", "1")
		c.String(http.StatusServiceUnavailable, "no slot is free\n")
	case refusal == engine.Failed:
		c.String(http.StatusInternalServerError, "the engine failed: %v\n", err)
	case bytes.Contains(body, []byte(answer.PoisonMarker)):
		h.cfg.Crash("request contains " + answer.PoisonMarker)
	default:
		h.send(c, w, 0, order)
	}
}

// send sends the answer of a work from the offset on.
func (h *Handler) send(c *gin.Context, w *engine.Work, offset int, order fault.Order) {
	defer h.cfg.Engine.Attach(w)()
	if order.Phase == fault.Headers && h.strike(c, order) {
		return
	}
	c.Status(http.StatusOK)
	c.Header("Content-Type", w.ContentType)
	c.Header(headerRequestID, string(w.ID))
	if !w.Streamed {
		c.Header("Content-Length", strconv.Itoa(w.Size-offset))
	}
	for whole := false; !whole; {
		var p []byte
		var err error
		p, whole, err = w.Read(c.Request.Context(), offset)
		if err != nil {
			reset(c)
			return
		}
		cut := w.Size / 2
		struck := order.Phase == fault.Body && order.Fault != fault.Slow && order.Fault != fault.None && offset+len(p) > cut
		if struck {
			p = p[:max(cut-offset, 0)]
		}
		if _, err := c.Writer.Write(p); err != nil {
			return
		}
		offset += len(p)
		if w.Streamed || struck {
			c.Writer.Flush()
		}
		if struck && h.strike(c, order) {
			return
		}
	}
}

// strike lets the fault happen in the middle of a request, and says whether the
// answer ends with it.
func (h *Handler) strike(c *gin.Context, o fault.Order) bool {
	switch o.Fault {
	case fault.Reset:
		reset(c)
	case fault.ShortAnswer:
	case fault.Silent:
		<-c.Request.Context().Done()
	case fault.Crash:
		h.cfg.Crash("ordered in the middle of a request")
	default:
		return false
	}
	return true
}

// reset ends the connection without a regular end.
func reset(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it the connection is closed regularly, which is as good for most tests.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	c.Abort()
}

// readBody reads the request body, or answers with the error and returns false.
func readBody(c *gin.Context) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBody))
	if err != nil {
		c.String(http.StatusBadRequest, "read body: %v\n", err)
		return nil, false
	}
	return body, true
}

func (h *Handler) resume(c *gin.Context) {
	w := h.cfg.Engine.Find(fleet.RequestID(c.Param("id")))
	if w == nil {
		c.String(http.StatusNotFound, "request is unknown\n")
		return
	}
	offset, err := strconv.Atoi(c.DefaultQuery("Offset", "0"))
	if err != nil || offset < 0 || offset > w.Size {
		c.String(http.StatusBadRequest, "Offset is not a number from 0 to %d\n", w.Size)
		return
	}
	h.send(c, w, offset, h.cfg.Faults.Take())
}

func (h *Handler) cancel(c *gin.Context) {
	if !h.cfg.Engine.Cancel(fleet.RequestID(c.Param("id"))) {
		c.String(http.StatusNotFound, "request is unknown\n")
		return
	}
	c.Status(http.StatusNoContent)
}

func (h *Handler) record(c *gin.Context) { c.JSON(http.StatusOK, h.cfg.Record.Runs()) }

func (h *Handler) fault(c *gin.Context) {
	body, ok := readBody(c)
	if !ok {
		return
	}
	var o fault.Order
	if err := fleet.Decode(body, &o); err != nil {
		c.String(http.StatusBadRequest, "%v\n", err)
		return
	}
	h.obey(c, o)
}

// obey puts the order in force before it is answered, unless it ends the process.
func (h *Handler) obey(c *gin.Context, o fault.Order) {
	c.Status(http.StatusNoContent)
	switch {
	case o.Fault == fault.Crash && o.Count == 0:
		c.Writer.WriteHeaderNow()
		c.Writer.Flush()
		h.cfg.Crash("ordered")
	case o.Fault == fault.Cold:
		h.cfg.Engine.TurnCold()
	default:
		h.cfg.Faults.Set(o)
	}
	h.cfg.Ordered(o)
}
