package e2e_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
)

// routerUsage is the resource usage that a router reports at /debug/vars.
type routerUsage struct {
	RouterGauges struct {
		CPUMicroseconds     int64
		ControlBytesWritten int64
		ControlBytesRead    int64
	}
}

func readUsage(b *testing.B, p *harness.Process) routerUsage {
	b.Helper()
	var usage routerUsage
	resp, err := http.Get("http://" + p.Admin + "/debug/vars")
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&usage); err != nil {
		b.Fatal(err)
	}
	return usage
}

// startBenchFleet starts a fleet with one router, one plain and one model target.
func startBenchFleet(b *testing.B) *harness.Fleet {
	b.Helper()
	list := []harness.Target{
		{Name: "desk-1", Service: harness.PlainService, Protocol: "Plain", DataCentre: "dc-a", Slots: 256, Extra: "ServiceTime = 1ms"},
		{Name: "drafter-1", Service: harness.ModelService, Protocol: "Model", DataCentre: "dc-a", Slots: 64, Extra: "FirstToken = 5ms"},
	}
	text := strings.Replace(harness.FleetText(0), "[Policy]\n", "[Policy]\nConnectionsPerCustomer = 2000\nQueuePerCustomer = 2000\n", 1)
	f, err := harness.New(harness.Config{Bin: binFolder, Folder: b.TempDir(), FleetText: text, Control: 3, Dispatchers: 2, Routers: 1, Targets: list})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	if err := f.Start(); err != nil {
		b.Fatal(err)
	}
	return f
}

// endpoint holds the URLs of the plain and the model service, either direct or through a
// router.
type endpoint struct {
	name, plain, model string
}

func endpoints(f *harness.Fleet) []endpoint {
	router := "http://" + f.Routers[0].Address + "/services/"
	return []endpoint{
		{"direct", "http://" + f.Targets[0].Address, "http://" + f.Targets[1].Address},
		{"router", router + harness.PlainService, router + harness.ModelService},
	}
}

func request(method, url, body string) (*http.Request, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set("Authorization", "Bearer key-large")
	return r, nil
}

// timeShortCall makes one short call and returns its duration.
func timeShortCall(c *http.Client, url string) (time.Duration, error) {
	r, err := request(http.MethodGet, url+"/status/1", "")
	if err != nil {
		return 0, err
	}
	start := time.Now()
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("answered %s: %s", resp.Status, body)
	}
	return time.Since(start), err
}

// openStream opens a stream and returns it with the time to its first event.
func openStream(c *http.Client, url string, tokens int) (io.ReadCloser, time.Duration, error) {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":%d}`, tokens)
	r, err := request(http.MethodPost, url+completionsPath, body)
	if err != nil {
		return nil, 0, err
	}
	start := time.Now()
	resp, err := c.Do(r)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Errorf("answered %s", resp.Status)
	}
	_, err = bufio.NewReaderSize(resp.Body, 16).ReadString('\n')
	return resp.Body, time.Since(start), err
}

func reportLatency(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	for _, p := range []int{50, 95, 99} {
		b.ReportMetric(float64(times[(len(times)-1)*p/100].Microseconds()), fmt.Sprintf("p%d-us", p))
	}
}

// warmUp makes enough calls that the dispatcher grants all slots of the plain target.
func warmUp(b *testing.B, ep endpoint) {
	b.Helper()
	client := &http.Client{}
	for range 40 {
		if _, err := timeShortCall(client, ep.plain); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkShortCall(b *testing.B) {
	f := startBenchFleet(b)
	for _, ep := range endpoints(f) {
		warmUp(b, ep)
		b.Run(ep.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			times := make([]time.Duration, 0, b.N)
			for range b.N {
				d, err := timeShortCall(client, ep.plain)
				if err != nil {
					b.Fatal(err)
				}
				times = append(times, d)
			}
			reportLatency(b, times)
		})
	}
}

func BenchmarkFirstToken(b *testing.B) {
	f := startBenchFleet(b)
	for _, ep := range endpoints(f) {
		b.Run(ep.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			times := make([]time.Duration, 0, b.N)
			for range b.N {
				body, d, err := openStream(client, ep.model, 1)
				if err != nil {
					b.Fatal(err)
				}
				times = append(times, d)
				// The time is measured, so an error in the rest of the stream doesn't matter.
				_, _ = io.Copy(io.Discard, body)
				_ = body.Close()
			}
			reportLatency(b, times)
		})
	}
}

// BenchmarkRouterLoad reports a router's CPU time and control traffic per short call, with
// 32 concurrent callers.
func BenchmarkRouterLoad(b *testing.B) {
	const callers = 32
	f := startBenchFleet(b)
	ep := endpoints(f)[1]
	warmUp(b, ep)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	before := readUsage(b, f.Routers[0])
	b.ResetTimer()
	var wg sync.WaitGroup
	calls := make(chan struct{})
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range calls {
				if _, err := timeShortCall(client, ep.plain); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	for range b.N {
		calls <- struct{}{}
	}
	close(calls)
	wg.Wait()
	after := readUsage(b, f.Routers[0])
	cpu := float64(after.RouterGauges.CPUMicroseconds-before.RouterGauges.CPUMicroseconds) / float64(b.N)
	b.ReportMetric(cpu, "router-cpu-us/op")
	b.ReportMetric(1e6/cpu, "requests/core-s")
	b.ReportMetric(float64(after.RouterGauges.ControlBytesWritten-before.RouterGauges.ControlBytesWritten)/float64(b.N), "sent-bytes/op")
	b.ReportMetric(float64(after.RouterGauges.ControlBytesRead-before.RouterGauges.ControlBytesRead)/float64(b.N), "received-bytes/op")
}
