package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// Result is the result of a load as fuchsiashed-standin load writes it with --json-file.
type Result struct {
	Requests, Attempts, Answered, Wrong, Unanswered, InDoubt int
	Cut, CutStreams, ConnectionErrors, NoHosts               int
	Verdicts                                                 map[string]int
	Reasons                                                  map[string]int
	Served                                                   map[string]int
	RanTwice, FalseNotRun, Lost                              []string
}

// Load is a running process of fuchsiashed-standin load.
type Load struct {
	cmd        *exec.Cmd
	output     *bytes.Buffer
	resultFile string
	// done receives the result of cmd.Wait.
	done chan error
	// timeout limits how long Wait waits.
	timeout time.Duration
}

// lastAnswersTimeout is how long a load may wait for outstanding answers after its
// duration.
const lastAnswersTimeout = 40 * time.Second

// LoadConfig configures a load of both services.
type LoadConfig struct {
	Duration time.Duration
	// Workers is the number of concurrent requests of the large customer; each of the small
	// customers has one.
	Workers int
	// PlainPercent is the percentage of requests that go to the plain service.
	PlainPercent int
	// Tokens is the mean number of tokens of a model answer.
	Tokens int
	// Seed determines the requests and must be unique among the loads of a fleet.
	Seed uint64
}

// StartLoad starts a load through all routers. The load compares its answers with the
// records of all targets when it ends.
func (f *Fleet) StartLoad(cfg LoadConfig) (*Load, error) {
	l := &Load{resultFile: filepath.Join(f.cfg.Folder, fmt.Sprintf("load-%d.json", cfg.Seed)), output: &bytes.Buffer{}, done: make(chan error, 1), timeout: cfg.Duration + lastAnswersTimeout}
	args := []string{
		"load", "--model", ModelService, "--plain", PlainService, "--duration", cfg.Duration.String(), "--json-file", l.resultFile,
		"--plain-percent", fmt.Sprint(cfg.PlainPercent), "--tokens", fmt.Sprint(cfg.Tokens), "--seed", fmt.Sprint(cfg.Seed),
		"--attempts", "40", "--request-timeout", "30s",
		"--customer", fmt.Sprintf("large=key-large:%d", cfg.Workers),
		"--customer", "small-1=key-small-1:1", "--customer", "small-2=key-small-2:1",
	}
	for _, p := range f.Routers {
		args = append(args, "--host", p.Address)
	}
	for _, p := range f.Targets {
		args = append(args, "--record-file", f.RecordFile(p))
	}
	l.cmd = exec.Command(filepath.Join(f.cfg.Bin, "fuchsiashed-standin"), args...)
	l.cmd.Stdout, l.cmd.Stderr = l.output, l.output
	l.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := l.cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start load")
	}
	go func() { l.done <- l.cmd.Wait() }()
	return l, nil
}

// Wait waits for the end of the load. The error lists every violation that the load found.
func (l *Load) Wait() (Result, error) {
	var r Result
	var waitErr error
	select {
	case waitErr = <-l.done:
	case <-time.After(l.timeout):
		// On SIGTERM the load still writes its result.
		_ = l.cmd.Process.Signal(syscall.SIGTERM)
		<-l.done
		waitErr = errors.Errorf("not all answers came within %s", l.timeout)
	}
	raw, err := os.ReadFile(l.resultFile)
	if err != nil {
		return r, errors.Errorf("the load ended without a result: %v\n%s", waitErr, l.output)
	}
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, errors.Wrap(err, "decode the result of the load")
	}
	return r, errors.Wrapf(waitErr, "load: %s", l.output)
}

// Output returns the standard output and error of the load. Call it after Wait.
func (l *Load) Output() string { return l.output.String() }

// Run is a run of a request as a target recorded it.
type Run struct {
	RequestID string `json:"RequestId"`
	Key       string
	Started   time.Time
	Ended     time.Time
}

// Runs fetches the recorded runs of a target, which must be running.
func (f *Fleet) Runs(p *Process) ([]Run, error) {
	resp, err := http.Get("http://" + p.Address + "/standin/record")
	if err != nil {
		return nil, errors.Wrapf(err, "read the record of %s", p.Name)
	}
	defer resp.Body.Close()
	var runs []Run
	return runs, errors.Wrap(json.NewDecoder(resp.Body).Decode(&runs), "decode record")
}

// InjectFault injects a fault into a target; injection is the JSON form of fault.Injection
// in standin/internal/fault.
func (f *Fleet) InjectFault(p *Process, injection string) error {
	resp, err := http.Post("http://"+p.Address+"/standin/fault", "application/json", bytes.NewBufferString(injection))
	if err != nil {
		return errors.Wrapf(err, "inject a fault into %s", p.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("%s answered %s to the fault injection %s", p.Name, resp.Status, injection)
	}
	return nil
}

// Answer is the answer to a Call. Reason and Verdict are empty if the request succeeded.
type Answer struct {
	Status    int
	RequestID fleet.RequestID
	Reason    fleet.Reason
	Verdict   string
	Body      string
}

// Call sends one request of the customer small-1 to a router. An empty idempotencyKey sends
// none.
func (f *Fleet) Call(router *Process, service, method, path, idempotencyKey, body string) (Answer, error) {
	var a Answer
	req, err := http.NewRequest(method, "http://"+router.Address+"/services/"+service+path, bytes.NewBufferString(body))
	if err != nil {
		return a, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer key-small-1")
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	client := http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return a, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	a = Answer{
		Status: resp.StatusCode, Body: buf.String(), RequestID: fleet.RequestID(resp.Header.Get("Fuchsiashed-Request-Id")),
		Reason: fleet.Reason(resp.Header.Get("Fuchsiashed-Reason")), Verdict: resp.Header.Get("Fuchsiashed-Verdict"),
	}
	return a, errors.Wrap(err, "read answer")
}
