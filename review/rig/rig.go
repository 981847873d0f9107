// Package rig starts control hosts and routers as separate processes on loopback addresses, and
// has small stand-ins for servers, clients and the operator that follow the users' pages.
package rig

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	NotRun  = 2
	timeout = 110 * time.Second
)

// Ports of each machine. The program serves its metrics on port 9464 besides.
const (
	portInternal  = 7400
	portControl   = 8785
	portDirectory = 8786
	portFrontend  = 8783
	portReady     = 8780
	portServer    = 8443
)

// Rig is a deployment on loopback addresses of its own.
type Rig struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool

	began   time.Time
	bin     string
	dir     string
	subnet  string
	seeds   string
	logs    []*os.File
	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	procs   map[string]*exec.Cmd
	ended   map[string]bool
	started map[string][]string
}

// New returns a Rig whose record goes to the file named by the variable RECORD. The program is the
// one that the build of the deploy file has made.
func New() *Rig {
	r := &Rig{
		Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), procs: map[string]*exec.Cmd{}, ended: map[string]bool{},
		started: map[string][]string{}, subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
	}
	r.bin = os.Getenv("PLATFORM")
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r.file, r.record = f, bufio.NewWriter(f)
	if r.dir, err = os.MkdirTemp("", "case-"); err != nil {
		r.Exit(NotRun, "temporary folder: %v", err)
	}
	time.AfterFunc(timeout, func() { r.Exit(NotRun, "not finished after %s", timeout) })
	current = r
	r.Note("trouble is %t", r.Trouble)
	return r
}

// Since returns the time since the start of the case.
func (r *Rig) Since() time.Duration { return time.Since(r.began) }

// Note writes a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", r.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Exit ends all processes and the case.
func (r *Rig) Exit(code int, format string, args ...any) {
	r.Note("result %d: "+format, append([]any{code}, args...)...)
	r.mu.Lock()
	for name, p := range r.procs {
		r.ended[name] = true
		_ = p.Process.Kill()
	}
	for _, p := range r.procs {
		_, _ = p.Process.Wait()
	}
	_ = r.record.Flush()
	_ = r.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	fmt.Printf("result %d: %s\n", code, fmt.Sprintf(format, args...))
	os.Exit(code)
}

func (r *Rig) must(err error, what string) {
	if err != nil {
		r.Exit(NotRun, "%s: %v", what, err)
	}
}

// ControlIP, RouterIP and ServerIP return the addresses of machines.
func (r *Rig) ControlIP(i int) string { return fmt.Sprintf("%s.%d", r.subnet, 10+i) }
func (r *Rig) RouterIP(i int) string  { return fmt.Sprintf("%s.%d", r.subnet, 50+i) }
func (r *Rig) ServerIP(i int) string  { return fmt.Sprintf("%s.%d", r.subnet, 100+i) }

// ControlAddress is where the operator and servers call a control host.
func (r *Rig) ControlAddress(i int) string { return fmt.Sprintf("%s:%d", r.ControlIP(i), portControl) }

// RouterAddress is where clients call a router.
func (r *Rig) RouterAddress(i int) string { return fmt.Sprintf("%s:%d", r.RouterIP(i), portFrontend) }

// Start starts control hosts and routers with settings as the templates of the deploy file give
// them for the figures of the site mlt-ops, and waits until all routers are ready.
func (r *Rig) Start(controls, routers int) {
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, r.ControlAddress(i))
	}
	r.seeds = strings.Join(seeds, ",")
	for i := range controls {
		r.startControl(i, true)
	}
	for i := range routers {
		r.StartRouter(i)
	}
}

// StartControl starts a control host again, after its first start.
func (r *Rig) StartControl(i int) { r.startControl(i, false) }

func (r *Rig) startControl(i int, bootstrap bool) {
	ip := r.ControlIP(i)
	name := fmt.Sprintf("control-%d", i)
	r.run(name, "control", fmt.Sprintf(`[Host]
Host = %s
DataCentre = centru-a
Address = %s
Cores = 1
Share = 0.24

[Control]
Seeds = %s
Ports = 7400,7415

[Replica]
Listen = %s:%d
Directory = %s:%d
DataFolder = %s
Bootstrap = %t
MoveCrowds = true
MemoryMB = 280
ShareWindow = 4s
StopLimit = 8s
ToleratedLosses = 1

[Limits]
`, name, ip, r.seeds, ip, portControl, ip, portDirectory, filepath.Join(r.dir, "data-"+name), bootstrap))
}

// StartRouter starts a router.
func (r *Rig) StartRouter(i int) {
	ip := r.RouterIP(i)
	name := fmt.Sprintf("router-%d", i)
	r.run(name, "router", fmt.Sprintf(`[Host]
Host = %s
DataCentre = centru-a
Address = %s
Cores = 1
Share = 0.4

[Control]
Seeds = %s
Ports = 7400,7415

[Router]
Listen = %s:%d
Readiness = %s:%d
MemoryMB = 284
Descriptors = 4100
AnnounceInterval = 1200ms
StopLimit = 8s
AdaptConnections = true

[Limits]
RetryRatio = 0.2
RetryExtra = 56
RetryWindow = 10s
ColdOvershoot = 1.5
ColdSlack = 5
`, name, ip, r.seeds, ip, portFrontend, ip, portReady))
}

func (r *Rig) run(name, role, settings string) {
	path := filepath.Join(r.dir, name+".ini")
	r.must(os.WriteFile(path, []byte(settings), 0o600), "settings")
	out, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	r.must(err, "log")
	cmd := exec.Command(r.bin, role, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.must(cmd.Start(), "start "+name)
	r.mu.Lock()
	r.procs[name], r.ended[name] = cmd, false
	r.mu.Unlock()
	r.Note("started %s, process %d", name, cmd.Process.Pid)
}

// Signal sends a signal to a process.
func (r *Rig) Signal(name string, s syscall.Signal) {
	r.mu.Lock()
	p := r.procs[name]
	r.mu.Unlock()
	r.Note("signal %s to %s", s, name)
	_ = p.Process.Signal(s)
	if s == syscall.SIGKILL {
		_, _ = p.Process.Wait()
	}
}

// Pid returns the id of a process.
func (r *Rig) Pid(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.procs[name].Process.Pid
}

// WaitReady waits until all routers say that they are ready.
func (r *Rig) WaitReady(routers int) {
	for i := range routers {
		url := fmt.Sprintf("http://%s:%d/readiness", r.RouterIP(i), portReady)
		for {
			resp, err := http.Get(url)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if r.Since() > 25*time.Second {
				r.Exit(NotRun, "router %d isn't ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.Note("all routers are ready")
}

// PutConfig sends a config to the control hosts until one acknowledges it.
func (r *Rig) PutConfig(controls int, config map[string]any) {
	body, err := json.Marshal(config)
	r.must(err, "encode config")
	client := &http.Client{Timeout: time.Second}
	for try := 0; r.Since() < 25*time.Second; try++ {
		req, _ := http.NewRequest(http.MethodPut, "http://"+r.ControlAddress(try%controls)+"/configuration", bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.Note("config %v is acknowledged", config["version"])
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.Exit(NotRun, "no control host has acknowledged the config")
}

// current is the Rig of the process.
var current *Rig

// Server is a stand-in for a server of the pages. Its check-ins go to the control hosts in turn.
type Server struct {
	rig     *Rig
	Index   int
	ID      string
	Version string
	Service string
	Slots   int
	// ColdFor is how long the server is cold after a start during traffic.
	ColdFor  time.Duration
	Address  string
	Handler  http.HandlerFunc
	controls int

	mu       sync.Mutex
	born     int64
	sequence int
	booted   time.Time
	cutUntil time.Time
	ackedAt  time.Time
	listener net.Listener
	conns    map[net.Conn]bool
	stop     chan struct{}
	http     *http.Server
}

// NewServer returns a server on the machine with the index.
func (r *Rig) NewServer(i, controls int, service string, slots int, h http.HandlerFunc) *Server {
	return &Server{
		rig: r, Index: i, ID: fmt.Sprintf("i-%04d-%x", i, rand.Uint32()), Version: "v1", Service: service, Slots: slots,
		Address: fmt.Sprintf("%s:%d", r.ServerIP(i), portServer), Handler: h, controls: controls,
	}
}

// Boot starts the server as a new boot. The check-ins begin after silence.
func (s *Server) Boot(silence time.Duration) {
	ln, err := net.Listen("tcp", s.Address)
	s.rig.must(err, "listen")
	s.mu.Lock()
	s.listener, s.conns, s.stop = ln, map[net.Conn]bool{}, make(chan struct{})
	s.booted, s.sequence = time.Now(), 0
	s.born = s.booted.UnixMilli()
	stop := s.stop
	s.http = &http.Server{Handler: s.Handler, ConnState: s.track}
	srv := s.http
	s.mu.Unlock()
	s.rig.Note("server %s (%s) starts at %s", s.ID, s.Version, s.Address)
	go func() { _ = srv.Serve(ln) }()
	go s.checkIn(stop, silence)
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Crash ends the server at once: it closes all its channels and sends nothing more.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.listener == nil {
		s.mu.Unlock()
		return
	}
	close(s.stop)
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.listener = nil
	s.mu.Unlock()
	s.rig.Note("server %s crashes", s.ID)
}

// Restart starts the server as a new boot under a new id. It is cold for a time.
func (s *Server) Restart(cold time.Duration) {
	s.mu.Lock()
	s.ID, s.ColdFor = NewID(), cold
	s.mu.Unlock()
	s.Boot(0)
}

// Upgrade sets the version of the software with which the server starts next, and for how long it is cold then.
func (s *Server) Upgrade(version string, cold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Version, s.ColdFor = version, cold
}

// Names returns the id and the version of the software.
func (s *Server) Names() (id, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ID, s.Version
}

// Up reports whether the server runs.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// checkIn sends check-ins. Like every caller of control hosts the server moves on to the next one after a
// failure, with increasing backoff.
func (s *Server) checkIn(stop chan struct{}, silence time.Duration) {
	const minBackoff, maxBackoff = 200 * time.Millisecond, 800 * time.Millisecond
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	next := s.Index % s.controls
	wait, backoff := silence, minBackoff
	for {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		if s.put(client, next) {
			s.mu.Lock()
			s.ackedAt = time.Now()
			s.mu.Unlock()
			wait, backoff = 1200*time.Millisecond, minBackoff
			continue
		}
		next = (next + 1) % s.controls
		wait, backoff = backoff, min(2*backoff, maxBackoff)
	}
}

// AckedAt returns when the last check-in was acknowledged.
func (s *Server) AckedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ackedAt
}

// AwaitCheckIn waits for the next ack.
func (s *Server) AwaitCheckIn() {
	for at := s.AckedAt(); s.AckedAt().Equal(at); {
		time.Sleep(5 * time.Millisecond)
	}
}

// Cut cuts the server off from the control hosts for a time: its calls get no answer within their second.
func (s *Server) Cut(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutUntil = time.Now().Add(d)
	s.rig.Note("server %s is cut off from the control hosts for %s", s.ID, d)
}

func (s *Server) put(client *http.Client, control int) bool {
	s.mu.Lock()
	if time.Now().Before(s.cutUntil) {
		s.mu.Unlock()
		time.Sleep(time.Second)
		return false
	}
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address, "zone": "centru-a", "version": s.Version, "slots": s.Slots,
		"state": "ready", "coldRemainingMs": max(0, (s.ColdFor - time.Since(s.booted)).Milliseconds()), "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	req, _ := http.NewRequest(http.MethodPut, "http://"+s.rig.ControlAddress(control)+"/instances/"+s.ID, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// Stamp sets the headers of an answer to a request that has run.
func Stamp(w http.ResponseWriter, req *http.Request) {
	current.Note("server at %v runs %s %s, request %s", req.Context().Value(http.LocalAddrContextKey), req.Method, req.URL.Path, req.Header.Get("X-Fuchsiashed-Attempt-Id"))
	w.Header().Set("X-Fuchsiashed-Attempt-Id", req.Header.Get("X-Fuchsiashed-Attempt-Id"))
	w.Header().Set("X-Fuchsiashed-Server-Stamp", "3e1b.07."+req.Header.Get("X-Fuchsiashed-Attempt-Id"))
}

// Attempt is what a client sends in one attempt.
type Attempt struct {
	Router  string
	Method  string
	Path    string
	ID      string
	Key     string
	Body    []byte
	Header  map[string]string
	Wait    time.Duration
	OnEvent func(event string)
}

// Answer is what a client has got for an attempt.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Err     error
	Elapsed time.Duration
}

// Host is the host name of all routes.
const Host = "front.example"

var shared = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}

// NewID returns an id for an attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Do sends an attempt and reads the answer to its end. OnEvent gets the whole events of a stream.
func (r *Rig) Do(a Attempt) Answer {
	if a.ID == "" {
		a.ID = NewID()
	}
	r.Note("client sends %s %s to %s, request %s", a.Method, a.Path, a.Router, a.ID)
	got := r.do(a)
	r.Note("client gets %d for request %s after %s, error %v", got.Status, a.ID, got.Elapsed.Round(time.Millisecond), got.Err)
	return got
}

func (r *Rig) do(a Attempt) Answer {
	began := time.Now()
	if a.Wait == 0 {
		a.Wait = 6 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Router+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = Host
	req.Header.Set("X-Fuchsiashed-Attempt-Id", a.ID)
	req.Header.Set("X-Fuchsiashed-Deadline-Remaining", fmt.Sprint(a.Wait.Milliseconds()))
	if a.Key != "" {
		req.Header.Set("Authorization", "Bearer "+a.Key)
	}
	for k, v := range a.Header {
		req.Header.Set(k, v)
	}
	resp, err := shared.Do(req)
	if err != nil {
		return Answer{Err: err, Elapsed: time.Since(began)}
	}
	defer resp.Body.Close()
	out := Answer{Status: resp.StatusCode, Header: resp.Header}
	if a.OnEvent == nil {
		out.Body, out.Err = io.ReadAll(resp.Body)
		out.Elapsed = time.Since(began)
		return out
	}
	rest := ""
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		rest += string(buf[:n])
		for {
			event, after, ok := strings.Cut(rest, "\n\n")
			if !ok {
				break
			}
			a.OnEvent(event)
			rest = after
		}
		if err != nil {
			if err != io.EOF {
				out.Err = err
			}
			out.Elapsed = time.Since(began)
			return out
		}
	}
}
