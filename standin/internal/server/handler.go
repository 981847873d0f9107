package server

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

// HTTP headers between routers and targets.
const (
	headerRequestID      = "Fuchsiashed-Request-Id"
	headerNotRun         = "Fuchsiashed-Not-Run"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 16 << 20

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Clock    fleet.Clock
	Protocol fleet.Protocol
	Engine   *engine.Engine
	Faults   *fault.Injector
	Record   *record.Record
	// FirstToken is the time to the first token of a model engine's answer, TokenInterval
	// the time between tokens.
	FirstToken    time.Duration
	TokenInterval time.Duration
	// ServiceTime is the duration of a call of the plain service.
	ServiceTime time.Duration
	// Crash ends the process; the reason is logged.
	Crash func(reason string)
	// OnFaultSet is called after a test has set a fault.
	OnFaultSet func(fault.Injection)
}

// Handler serves requests of routers, and the routes with which tests inject faults and
// read the record.
type Handler struct {
	cfg HandlerConfig
}

// NewHandler returns a Handler; Register adds its routes.
func NewHandler(cfg HandlerConfig) *Handler { return &Handler{cfg: cfg} }

// Register adds the routes of the configured protocol to a gin engine.
func (h *Handler) Register(r *gin.Engine) {
	r.GET("/standin/record", h.getRecord)
	r.POST("/standin/fault", h.postFault)
	r.GET("/v1/streams/:id", h.resumeStream)
	r.DELETE("/v1/streams/:id", h.cancelRequest)
	if h.cfg.Protocol == fleet.ProtocolModel {
		r.POST("/v1/chat/completions", h.completeChat)
		return
	}
	r.NoRoute(h.callPlain)
}

// startJob starts the request and sends its answer, unless an injected fault applies first.
func (h *Handler) startJob(c *gin.Context, body []byte, job engine.Job) {
	injection := h.cfg.Faults.Next()
	if injection.Matches(fault.Reset, fault.Accept) {
		resetConnection(c)
		return
	}
	if injection.Matches(fault.Crash, fault.Accept) {
		h.cfg.Crash("fault injected before the run")
	}
	if injection.Fault == fault.Slow {
		job.FirstPartDelay *= fault.SlowFactor
		job.PartDelay *= fault.SlowFactor
	}
	job.Run = record.Run{
		RequestID:   fleet.RequestID(c.GetHeader(headerRequestID)),
		Key:         fleet.IdempotencyKey(c.GetHeader(headerIdempotencyKey)),
		ContentHash: fleet.ContentHash(answer.ContentHash(c.Request.Method, c.Request.URL.Path, body)),
		Started:     h.cfg.Clock.Now(),
	}
	execution, admission, err := h.cfg.Engine.Start(job)
	switch {
	case admission == engine.Overloaded:
		c.Header(headerNotRun, "true")
		c.Header("Retry-After", "1")
		c.String(http.StatusServiceUnavailable, "no slot is free\n")
	case admission == engine.Failed:
		c.String(http.StatusInternalServerError, "the engine failed: %v\n", err)
	case bytes.Contains(body, []byte(answer.PoisonMarker)):
		h.cfg.Crash("request contains " + answer.PoisonMarker)
	default:
		h.sendAnswer(c, execution, 0, injection)
	}
}

// sendAnswer sends the answer of an execution from the offset on, with the fault injected.
func (h *Handler) sendAnswer(c *gin.Context, execution *engine.Execution, offset int, injection fault.Injection) {
	defer h.cfg.Engine.AddReader(execution)()
	if injection.Phase == fault.Headers && h.applyFault(c, injection) {
		return
	}
	c.Status(http.StatusOK)
	c.Header("Content-Type", execution.ContentType)
	c.Header(headerRequestID, string(execution.ID))
	if !execution.Streamed {
		c.Header("Content-Length", strconv.Itoa(execution.Size-offset))
	}
	for complete := false; !complete; {
		var part []byte
		var err error
		part, complete, err = execution.Read(c.Request.Context(), offset)
		if err != nil {
			resetConnection(c)
			return
		}
		breakAt := execution.Size / 2
		breakHere := injection.Phase == fault.Body && injection.Fault != fault.Slow && injection.Fault != fault.None && offset+len(part) > breakAt
		if breakHere {
			part = part[:max(breakAt-offset, 0)]
		}
		if _, err := c.Writer.Write(part); err != nil {
			return
		}
		offset += len(part)
		if execution.Streamed || breakHere {
			c.Writer.Flush()
		}
		if breakHere && h.applyFault(c, injection) {
			return
		}
	}
}

// applyFault applies the injected fault to the connection or the process, and reports whether
// the answer ends with it.
func (h *Handler) applyFault(c *gin.Context, injection fault.Injection) bool {
	switch injection.Fault {
	case fault.Reset:
		resetConnection(c)
	case fault.ShortAnswer:
	case fault.Silent:
		<-c.Request.Context().Done()
	case fault.Crash:
		h.cfg.Crash("fault injected while a request was handled")
	default:
		return false
	}
	return true
}

// resetConnection closes the client's connection with a TCP reset, or aborts the handler if
// the connection can't be hijacked.
func resetConnection(c *gin.Context) {
	conn, _, err := c.Writer.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If this fails the connection is closed without a reset, which most tests accept too.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	c.Abort()
}

// readBody reads the request body. On an error it answers with status 400 and returns
// false.
func readBody(c *gin.Context) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	if err != nil {
		c.String(http.StatusBadRequest, "read body: %v\n", err)
		return nil, false
	}
	return body, true
}

func (h *Handler) resumeStream(c *gin.Context) {
	execution := h.cfg.Engine.Find(fleet.RequestID(c.Param("id")))
	if execution == nil {
		c.String(http.StatusNotFound, "request is unknown\n")
		return
	}
	offset, err := strconv.Atoi(c.DefaultQuery("Offset", "0"))
	if err != nil || offset < 0 || offset > execution.Size {
		c.String(http.StatusBadRequest, "Offset is not a number from 0 to %d\n", execution.Size)
		return
	}
	h.sendAnswer(c, execution, offset, h.cfg.Faults.Next())
}

func (h *Handler) cancelRequest(c *gin.Context) {
	if !h.cfg.Engine.Cancel(fleet.RequestID(c.Param("id"))) {
		c.String(http.StatusNotFound, "request is unknown\n")
		return
	}
	c.Status(http.StatusNoContent)
}

func (h *Handler) getRecord(c *gin.Context) { c.JSON(http.StatusOK, h.cfg.Record.Runs()) }

func (h *Handler) postFault(c *gin.Context) {
	body, ok := readBody(c)
	if !ok {
		return
	}
	var injection fault.Injection
	if err := fleet.Decode(body, &injection); err != nil {
		c.String(http.StatusBadRequest, "%v\n", err)
		return
	}
	h.setFault(c, injection)
}

// setFault sets the fault before the request is answered. A Crash without a count is
// answered first, since it ends the process.
func (h *Handler) setFault(c *gin.Context, injection fault.Injection) {
	c.Status(http.StatusNoContent)
	switch {
	case injection.Fault == fault.Crash && injection.Count == 0:
		c.Writer.WriteHeaderNow()
		c.Writer.Flush()
		h.cfg.Crash("fault injected")
	case injection.Fault == fault.Cold:
		h.cfg.Engine.ResetToCold()
	default:
		h.cfg.Faults.Set(injection)
	}
	h.cfg.OnFaultSet(injection)
}
