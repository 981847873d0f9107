// Package caller is the HTTP server for callers: it lists the hosts to use, accepts
// requests and streams the responses back.
package caller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/router/internal/target"
)

// Limits of callers' connections and requests.
const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = time.Minute
	// maxHeader is the largest request header that is accepted, in bytes.
	maxHeader = 32 << 10
	// maxParsedHeader is the largest request header that is parsed, in bytes. It is
	// above maxHeader, so that a header between the two is refused with a reason.
	maxParsedHeader = 256 << 10
	// minBodyRate is the lowest rate at which a request body may arrive, in bytes per
	// second.
	minBodyRate = 16 << 10
)

// Configuration is what a Server needs of configsync.Follower.
type Configuration interface {
	Current() (fleet.Confirmed, bool)
	Hosts() []fleet.HostState
}

// Poster passes events to the reducer.
type Poster interface {
	Post(ev fleet.Event)
}

// Config configures a Server.
type Config struct {
	Host          fleet.HostID
	Incarnation   fleet.Incarnation
	Configuration Configuration
	Events        Poster
	Targets       *target.Client
	// Stopping reports whether this host is to be omitted from the lists of hosts for
	// callers.
	Stopping func() bool
	// Refused is called for each request or connection refused without the reducer.
	Refused func(reason fleet.Reason)
	Clock   fleet.Clock
	Log     *slog.Logger
	// WriteTimeout bounds each write of a part of a response.
	WriteTimeout time.Duration
	// BodyGrace bounds the wait for a request header and for the first bytes of a body.
	BodyGrace time.Duration
	// MaxConnections bounds the open connections of all callers together.
	MaxConnections int
}

// Server serves callers.
type Server struct {
	cfg Config
	// prefix and sequence make up request ids: host, incarnation, number.
	prefix   string
	sequence atomic.Uint64
	// rotation counts the lists of hosts; each starts one host further than the previous
	// one.
	rotation        atomic.Uint64
	openConnections atomic.Int64
	requests        requestLimiter
	bodies          bodyMemoryUse

	mu    sync.Mutex
	calls map[fleet.RequestID]*call
}

// New returns a Server; HTTP returns the http.Server to run it with.
func New(cfg Config) *Server {
	return &Server{
		cfg:      cfg,
		prefix:   strings.ReplaceAll(string(cfg.Host), "/", "-") + "-" + strconv.FormatUint(uint64(cfg.Incarnation), 36) + "-",
		requests: requestLimiter{open: map[fleet.CustomerName]int{}},
		calls:    map[fleet.RequestID]*call{},
	}
}

// HTTP returns the HTTP server for the callers' address.
func (s *Server) HTTP() *http.Server {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.RedirectTrailingSlash = false
	e.GET("/v1/hosts", s.handleHosts)
	e.NoRoute(s.handleRequest)
	return &http.Server{
		Handler: e, ReadHeaderTimeout: s.cfg.BodyGrace, IdleTimeout: idleTimeout, MaxHeaderBytes: maxParsedHeader,
		WriteTimeout: s.cfg.WriteTimeout, ConnState: s.connState,
		ErrorLog: slog.NewLogLogger(s.cfg.Log.Handler(), slog.LevelDebug),
	}
}

// connState counts open connections and closes new ones beyond the limit.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.openConnections.Add(1) > int64(s.cfg.MaxConnections) {
			s.cfg.Refused(fleet.ReasonTooManyConnections)
			// The server detects the closed connection when it reads from it.
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConnections.Add(-1)
	}
}

// Perform implements engine.Performer for the effects that concern one call.
func (s *Server) Perform(e fleet.Effect) {
	id := requestID(e)
	s.mu.Lock()
	c := s.calls[id]
	s.mu.Unlock()
	if r, ok := e.(routing.ReleaseSend); ok {
		s.cancelAttempt(c, r)
		return
	}
	if c != nil {
		c.effects.put(e)
	}
}

func requestID(e fleet.Effect) fleet.RequestID {
	switch e := e.(type) {
	case routing.StartSend:
		return e.Request
	case routing.ResumeSend:
		return e.Request
	case routing.WaitOn:
		return e.Request
	case routing.ReleaseSend:
		return e.Request
	case routing.AnswerFailure:
		return e.Request
	case routing.AnswerRecorded:
		return e.Request
	case routing.AnswerDone:
		return e.Request
	}
	return ""
}

// cancelAttempt aborts an attempt and cancels its request at the target.
func (s *Server) cancelAttempt(c *call, r routing.ReleaseSend) {
	if c != nil {
		c.exchange.Abort(r.Attempt)
	}
	go func() {
		confirmed := s.cfg.Targets.Cancel(context.Background(), r.Address, r.Request)
		s.cfg.Events.Post(routing.AttemptReleased{Request: r.Request, Grant: r.Grant, Confirmed: confirmed})
	}()
}

// Running returns the number of open calls.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}
