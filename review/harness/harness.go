// Package harness starts a small deployment on loopback, with stand-ins for the runners, the
// consumers and the operator, and records what they see.
package harness

import (
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
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Ports are the same on each host; each host has loopback addresses of its own.
const (
	internalPort  = 7400
	controlPort   = 8785
	directoryPort = 8789
	routerPort    = 8783
	readyPort     = 8780
	runnerPort    = 8080
)

// Bounds as the site files state them.
const (
	ContactWindow     = 3 * time.Second
	Evacuation        = 5 * time.Second
	OuterBound        = 5 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	operatorTimeout   = time.Second
)

// Zones are the zones of the deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// Fleet is a running deployment.
type Fleet struct {
	// Dir is a temporary folder.
	Dir      string
	Controls []*Process
	Routers  []*Process
	Runners  []*Runner

	record  *os.File
	start   time.Time
	network [2]byte
	mu      sync.Mutex
	wg      sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
}

// Trouble reports whether the script plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New creates the record and the temporary folder, and chooses free addresses.
func New(record string) (*Fleet, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, record: out, start: time.Now()}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.endOnSignal()
	for range 50 {
		f.network = [2]byte{byte(64 + rand.IntN(120)), byte(rand.IntN(250))}
		if f.isFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// endOnSignal ends the programs and the script when the script is told to end.
func (f *Fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Logf("could not run: the script was ended by a signal")
		f.Close()
		os.Exit(ExitNotRun)
	}()
}

// Address is loopback address n of the deployment.
func (f *Fleet) Address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network[0], f.network[1], n)
}

func (f *Fleet) isFree() bool {
	for _, n := range []int{1, 11, 21, 31, 41} {
		for _, port := range []int{internalPort, controlPort, directoryPort, routerPort, readyPort, runnerPort, 9464} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", f.Address(n), port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// Now is the time since the start of the script.
func (f *Fleet) Now() time.Duration { return time.Since(f.start) }

// Logf writes a line to the record.
func (f *Fleet) Logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%9.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// SleepUntil waits until a time since the start of the script.
func (f *Fleet) SleepUntil(at time.Duration) { time.Sleep(at - f.Now()) }

// Go runs a function until the end of the script.
func (f *Fleet) Go(do func(ctx context.Context)) { f.wg.Go(func() { do(f.ctx) }) }

// Process is a program of the deployment.
type Process struct {
	Name string
	// IP is the address at which the other processes reach it.
	IP string

	fleet    *Fleet
	args     []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	expected bool
	done     chan struct{}
	// OwnEnds counts the ends that the script did not cause.
	OwnEnds int
}

// Start starts the program.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.fleet.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.expected, p.done = cmd, false, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.expected {
			p.OwnEnds++
			p.fleet.Logf("%s ended by itself: %v", p.Name, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Signal sends a signal; ends says whether it ends the program.
func (p *Process) Signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	p.expected = p.expected || ends
	cmd := p.cmd
	p.mu.Unlock()
	p.fleet.Logf("%s gets %v", p.Name, s)
	if err := cmd.Process.Signal(s); err != nil {
		p.fleet.Logf("signal to %s: %v", p.Name, err)
	}
}

// Kill kills the program and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL, true)
	<-p.done
}

// Control is the address for the operator and the runners.
func (p *Process) Control() string { return fmt.Sprintf("%s:%d", p.IP, controlPort) }

// Router is the address for consumers.
func (p *Process) Router() string { return fmt.Sprintf("%s:%d", p.IP, routerPort) }

// Internal is the address for the other processes of the fleet.
func (p *Process) Internal() string { return fmt.Sprintf("%s:%d", p.IP, internalPort) }

// Leads asks the metrics of a control process whether it leads.
func (p *Process) Leads(metricsIP string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:9464/metrics", metricsIP))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var m struct{ Beliefs struct{ Leads bool } }
	return json.NewDecoder(resp.Body).Decode(&m) == nil && m.Beliefs.Leads
}

// hostText returns the sections that the settings of all programs have, as the templates in
// deploy/ give them. bind is empty unless a proxy stands before the program.
func (f *Fleet) hostText(name, zone, ip, bind string, controls int) string {
	var seeds []string
	for i := range controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.Address(1+i), controlPort))
	}
	text := fmt.Sprintf("[Host]\nHost = %s\nDataCentre = %s\nAddress = %s\nCores = 1\nShare = 0.4\n", name, zone, ip)
	if bind != "" {
		text += fmt.Sprintf("Bind = %s\n", bind)
	}
	return text + fmt.Sprintf("\n[Control]\nSeeds = %s\nPorts = %d,%d\n", strings.Join(seeds, ","), internalPort, internalPort+15)
}

// writeControl writes the settings of control process i.
func (f *Fleet) writeControl(i, controls int, bootstrap, proxied bool) error {
	name, ip, bind := fmt.Sprintf("control-%d", i), f.Address(1+i), ""
	if proxied {
		bind = f.Address(101 + i)
	}
	text := f.hostText(name, Zones[i%len(Zones)], ip, bind, controls) + fmt.Sprintf(
		"\n[Replica]\nListen = %s:%d\nDirectory = %s:%d\nDataFolder = %s\nBootstrap = %t\nShareWindow = 4s\nStopLimit = 8s\n",
		ip, controlPort, ip, directoryPort, filepath.Join(f.Dir, "data-"+name), bootstrap)
	return os.WriteFile(filepath.Join(f.Dir, name+".ini"), []byte(text), 0o600)
}

// StartProcesses starts control processes and routers. With proxied, the control processes listen
// at other addresses than the ones at which they are reached.
func (f *Fleet) StartProcesses(controls, routers int, proxied bool) error {
	for i := range controls {
		if err := f.writeControl(i, controls, true, proxied); err != nil {
			return err
		}
		name := fmt.Sprintf("control-%d", i)
		f.Controls = append(f.Controls, &Process{
			Name: name, IP: f.Address(1 + i), fleet: f,
			args: []string{"target/fuchsiashed-platform", "control", "--settings", filepath.Join(f.Dir, name+".ini")},
		})
	}
	for i := range routers {
		name, ip := fmt.Sprintf("router-%d", i), f.Address(11+i)
		path := filepath.Join(f.Dir, name+".ini")
		text := f.hostText(name, Zones[i%len(Zones)], ip, "", controls) + fmt.Sprintf(
			"\n[Router]\nListen = %s:%d\nReadiness = %s:%d\nMemoryMB = 284\nDescriptors = 4100\nAnnounceInterval = 1200ms\nStopLimit = 8s\n\n"+
				"[Limits]\nRetryRatio = 0.2\nRetryExtra = 56\nRetryWindow = 10s\nColdOvershoot = 1.5\nColdSlack = 5\n",
			ip, routerPort, ip, readyPort)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		f.Routers = append(f.Routers, &Process{
			Name: name, IP: ip, fleet: f,
			args: []string{"target/fuchsiashed-platform", "router", "--settings", path},
		})
	}
	for _, p := range append(append([]*Process{}, f.Controls...), f.Routers...) {
		if err := p.Start(); err != nil {
			return err
		}
	}
	// A restarted process must not found another quorum.
	time.AfterFunc(8*time.Second, func() {
		for i := range controls {
			_ = f.writeControl(i, controls, false, proxied)
		}
	})
	return nil
}

// AwaitReady waits until all routers are ready and a control process can read the configuration.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	c := http.Client{Timeout: time.Second}
	for _, r := range f.Routers {
		for {
			resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", r.IP, readyPort))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", r.Name, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Order sends an order of the operator to the given control processes in turn until one answers
// with a 2xx status. It returns the time of the acknowledgement, or false.
func (f *Fleet) Order(method, path string, body any, at ...*Process) (time.Duration, bool) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	for _, p := range at {
		c := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequest(method, "http://"+p.Control()+path, bytes.NewReader(text))
		if err != nil {
			return 0, false
		}
		if body != nil {
			req.Header.Set("Content-Type", "application/json")
		}
		f.Logf("operator sends %s %s to %s", method, path, p.Name)
		resp, err := c.Do(req)
		if err != nil {
			f.Logf("operator gets no answer from %s: %v", p.Name, err)
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		f.Logf("operator gets %d from %s %.120s", resp.StatusCode, p.Name, answer)
		if resp.StatusCode/100 == 2 {
			return f.Now(), true
		}
	}
	return 0, false
}

// Close ends all processes and stand-ins, and returns whether a program ended by itself.
func (f *Fleet) Close() bool {
	f.stop()
	for _, r := range f.Runners {
		r.close()
	}
	own := false
	for _, p := range append(append([]*Process{}, f.Controls...), f.Routers...) {
		p.mu.Lock()
		started, n := p.cmd != nil, p.OwnEnds
		p.mu.Unlock()
		own = own || n > 0
		if started && n == 0 {
			p.mu.Lock()
			p.expected = true
			p.mu.Unlock()
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	f.wg.Wait()
	f.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.Dir)
	} else {
		fmt.Println(f.Dir)
	}
	return own
}
