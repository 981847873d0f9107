package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
	"github.com/fuchsiashed/fuchsiashed/fleet/routing"
	"github.com/fuchsiashed/fuchsiashed/router/internal/target"
)

// handleRequest serves one request of a caller.
func (s *Server) handleRequest(ginCtx *gin.Context) {
	w, r := ginCtx.Writer, ginCtx.Request
	id := fleet.RequestID(s.prefix + strconv.FormatUint(s.sequence.Add(1), 36))
	if s.cfg.Stopping() {
		// After a loss of its connection, a caller requests the list of hosts before its
		// next request.
		w.Header().Set("Connection", "close")
	}
	admitted, f := s.admit(id, r)
	if f != nil {
		s.refuse(w, r, id, *f)
		return
	}
	if !s.requests.acquire(admitted.accepted.Customer, admitted.maxRequests) {
		s.refuse(w, r, id, fleet.Failure{
			Verdict: fleet.NotRun, Reason: fleet.ReasonTooManyConnections,
			Detail: fmt.Sprintf("customer has %d open requests here", admitted.maxRequests), RetryAfter: time.Second,
		})
		return
	}
	defer s.requests.release(admitted.accepted.Customer)
	reservation := &bodyReservation{memory: &s.bodies, limit: int64(admitted.maxBodies)}
	defer reservation.release()
	if f := s.readBody(w, r, admitted, reservation); f != nil {
		s.refuse(w, r, id, *f)
		return
	}
	s.runCall(w, r, admitted)
}

// admittedRequest is a request that has passed the checks of its header, with the
// limits that apply to its body.
type admittedRequest struct {
	accepted routing.RequestAccepted
	request  target.Request
	// maxRequests bounds the customer's open requests.
	maxRequests int
	// maxBody bounds this request's body.
	maxBody fleet.ByteSize
	// maxBodies bounds the bytes of all request bodies that the router holds.
	maxBodies fleet.ByteSize
}

// runCall posts the request to the reducer and performs the effects that follow.
func (s *Server) runCall(w gin.ResponseWriter, r *http.Request, admitted *admittedRequest) {
	c := &call{
		server: s, id: admitted.accepted.Request, w: w, rc: http.NewResponseController(w), effects: newEffectQueue(),
		customer: admitted.accepted.Customer, service: admitted.accepted.Service,
	}
	c.exchange = s.cfg.Targets.NewExchange(admitted.request, c)
	s.mu.Lock()
	s.calls[c.id] = c
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.calls, c.id)
		s.mu.Unlock()
		c.exchange.Close()
	}()
	s.cfg.Events.Post(admitted.accepted)
	stop := context.AfterFunc(r.Context(), func() { s.cfg.Events.Post(routing.CallerGone{Request: c.id}) })
	defer stop()
	c.run()
}

func malformed(detail string) *fleet.Failure {
	return &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonMalformed, Detail: detail}
}

// admit makes all checks that need only the header of the request.
func (s *Server) admit(id fleet.RequestID, r *http.Request) (*admittedRequest, *fleet.Failure) {
	if n := headerSize(r); n > maxHeader {
		return nil, &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonHeaderTooLarge, Detail: fmt.Sprintf("header has %d bytes; at most %d are allowed", n, maxHeader)}
	}
	cfg, confirmed := s.cfg.Configuration.Current()
	if !confirmed {
		return nil, &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonConfigUnconfirmed, Detail: "control has not confirmed the configuration in time; use another host", RetryAfter: time.Second}
	}
	customer, ok := authenticate(cfg.Fleet, r)
	if !ok {
		return nil, &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonUnknownKey, Detail: "the Authorization header holds no key of a customer"}
	}
	service, escaped, plain, err := splitPath(r)
	if err != nil {
		return nil, malformed(err.Error())
	}
	if !allowedMethods[r.Method] {
		return nil, malformed("method " + r.Method + " is not passed on")
	}
	svc, ok := cfg.Fleet.Services[service]
	if !ok {
		return nil, &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonUnknownService, Detail: fmt.Sprintf("service %q does not exist", service)}
	}
	p := cfg.Fleet.Policy
	admitted := &admittedRequest{maxRequests: p.ConnectionsPerCustomer, maxBody: p.MaxBody, maxBodies: p.QueueBytesPerRouter}
	admitted.accepted = routing.RequestAccepted{
		Request: id, Customer: customer, Service: service, Random: rand.Uint64(),
		Idempotent: fleettext.IsIdempotent(svc, r.Method, plain),
	}
	admitted.request = target.Request{
		ID: id, Method: r.Method, Path: escaped, Query: r.URL.RawQuery, Header: forwardedHeader(r.Header), Protocol: svc.Protocol,
	}
	if f := s.parseHeaders(r, admitted); f != nil {
		return nil, f
	}
	return admitted, nil
}

// parseHeaders reads the fleet's own headers.
func (s *Server) parseHeaders(r *http.Request, admitted *admittedRequest) *fleet.Failure {
	keys := r.Header.Values(headerIdempotent)
	if len(keys) > 1 || len(keys) == 1 && len(keys[0]) > fleet.MaxIdempotencyKeyBytes {
		return malformed(fmt.Sprintf("Idempotency-Key is one value of at most %d bytes", fleet.MaxIdempotencyKeyBytes))
	}
	if len(keys) == 1 {
		admitted.accepted.Key = fleet.IdempotencyKey(keys[0])
	}
	if v := r.Header.Get(headerCostHint); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return malformed(headerCostHint + " is not a whole number of at least 0")
		}
		admitted.accepted.Hint = fleet.Cost(n)
	}
	if v := r.Header.Get(headerDeadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return malformed(headerDeadline + " is not a duration such as 500ms or 30s")
		}
		admitted.accepted.Deadline = s.cfg.Clock.Now().Add(d)
	}
	return nil
}

// forwardedHeader returns the headers that are passed on to a target.
func forwardedHeader(h http.Header) http.Header {
	out := target.EndToEnd(h)
	out.Del("Authorization")
	out.Del("Expect")
	for _, name := range methodOverrideHeaders {
		out.Del(name)
	}
	return out
}

// readBody reads the body into the request. It fails if the body is too large, arrives
// too slowly, or exceeds the memory for bodies.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, admitted *admittedRequest, reservation *bodyReservation) *fleet.Failure {
	body, err := s.readPaced(w, r, admitted.maxBody, reservation)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonBodyTooLarge, Detail: fmt.Sprintf("body has more than %d bytes", admitted.maxBody)}
	case errors.Is(err, errBodyMemory):
		return &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonHostQueueFull, Detail: err.Error(), RetryAfter: time.Second}
	case isTimeout(err):
		return &fleet.Failure{Verdict: fleet.NotRun, Reason: fleet.ReasonSlowCaller, Detail: "the body came too slowly"}
	case err != nil:
		return malformed("the body broke off: " + err.Error())
	}
	admitted.request.Body = body
	admitted.request.Stream = admitted.request.Protocol == fleet.ProtocolModel && requestsStream(body)
	admitted.accepted.Bytes = fleet.ByteSize(len(body) + headerSize(r))
	admitted.accepted.Content = contentHash(r.Method, admitted.request.Path, admitted.request.Query, body)
	if admitted.request.Protocol == fleet.ProtocolModel {
		admitted.accepted.Prefix = fleet.PromptPrefix(body)
	}
	return nil
}

func (s *Server) readPaced(w http.ResponseWriter, r *http.Request, limit fleet.ByteSize, reservation *bodyReservation) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, &http.MaxBytesError{Limit: int64(limit)}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	reader := &pacedReader{body: http.MaxBytesReader(w, r.Body, int64(limit)), rc: rc, start: time.Now(), grace: s.cfg.BodyGrace, reservation: reservation}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	return body, rc.SetReadDeadline(time.Time{})
}

// pacedReader reads a body. It fails if the body has arrived at less than minBodyRate on
// average since the end of the grace period.
type pacedReader struct {
	body        io.Reader
	rc          *http.ResponseController
	start       time.Time
	grace       time.Duration
	reservation *bodyReservation
	bytesRead   int64
}

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	allowance := time.Duration(p.bytesRead) * time.Second / minBodyRate
	if err := p.rc.SetReadDeadline(p.start.Add(p.grace + allowance)); err != nil {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.bytesRead += int64(n)
	if !p.reservation.grow(int64(n)) {
		return n, errBodyMemory
	}
	return n, err
}

// requestsStream reports whether the body of a chat completion requests a stream.
func requestsStream(body []byte) bool {
	var completion struct {
		Stream bool `json:"stream"`
	}
	return json.Unmarshal(body, &completion) == nil && completion.Stream
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func contentHash(method, path, query string, body []byte) fleet.ContentHash {
	h := sha256.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(h, "%s %s?%s\n", method, path, query)
	_, _ = h.Write(body)
	return fleet.ContentHash(hex.EncodeToString(h.Sum(nil)))
}

// refuse responds to a request that was not passed to the reducer.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, id fleet.RequestID, f fleet.Failure) {
	s.cfg.Refused(f.Reason)
	w.Header().Set("Connection", "close")
	if others := s.otherHosts("", ""); others != "" && f.RetryAfter > 0 {
		w.Header().Set(headerHosts, others)
	}
	if r.Header.Get(headerIdempotent) != "" && temporaryReasons[f.Reason] {
		// The request may repeat a call that ran, and the ledger was not consulted.
		f.Verdict = fleet.MayHaveRun
	}
	writeFailure(w, id, f)
}

// temporaryReasons holds the reasons that depend on the state of the router. An earlier
// request with the same key may have been accepted in another state.
var temporaryReasons = map[fleet.Reason]bool{
	fleet.ReasonConfigUnconfirmed:  true,
	fleet.ReasonTooManyConnections: true,
	fleet.ReasonHostQueueFull:      true,
	fleet.ReasonSlowCaller:         true,
}
