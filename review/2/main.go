// Command case-2 shows that an order of the operator which a partition held up is carried out after
// newer orders, so that a zone whose evacuation is acknowledged gets requests again.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/review/harness"
)

const (
	controls, routers, runnersPerZone = 3, 3, 2
	// cutLength is that of the core_cut entries of the site file.
	cutLength = 4 * time.Second
	// requestsPerSecond is the rate of the consumer's requests.
	requestsPerSecond = 40
	host, prefix      = "app.example", "/status/"
)

// run is a request that reached a runner.
type run struct {
	at   time.Duration
	zone string
}

var (
	mu       sync.Mutex
	runs     []run
	answered = map[int]int{}
)

func main() { os.Exit(play()) }

func play() int {
	f, err := harness.New("review/2/record.txt")
	if err != nil {
		fmt.Println(err)
		return harness.ExitNotRun
	}
	code := script(f)
	if f.Close() && code == harness.ExitHeld {
		return harness.ExitNotRun
	}
	return code
}

func script(f *harness.Fleet) int {
	fail := func(format string, args ...any) int {
		f.Logf("could not run: "+format, args...)
		return harness.ExitNotRun
	}
	cut, err := f.NewCut(controls)
	if err != nil {
		return fail("%v", err)
	}
	if err := f.StartProcesses(controls, routers, true); err != nil {
		return fail("%v", err)
	}
	for z, zone := range harness.Zones {
		for i := range runnersPerZone {
			if _, err := f.AddRunner(z*runnersPerZone+i, "app", zone, 6, serve(f)); err != nil {
				return fail("%v", err)
			}
		}
	}
	config := map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 100,
			"priority": 1, "service": "app", "maxAttempts": 2, "public": true, "sessionAffinity": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "connectionLimit": 110, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	acked := false
	for i := 0; i < 20 && !acked; i++ {
		time.Sleep(500 * time.Millisecond)
		_, acked = f.Order(http.MethodPut, "/configuration", config, f.Controls[i%controls])
	}
	if !acked {
		return fail("no configuration")
	}
	if err := f.AwaitReady(10 * time.Second); err != nil {
		return fail("%v", err)
	}
	f.Go(func(ctx context.Context) { consume(ctx, f) })

	// All has run undisturbed for longer than the contact window.
	f.SleepUntil(14 * time.Second)
	leader, others := findLeader(f)
	if leader == nil {
		return fail("no leader")
	}
	victim, other := others[0], others[1]
	f.Logf("%s leads; %s is the one to be cut off", leader.Name, victim.Name)
	zone := harness.Zones[0]
	path := "/evacuation/" + zone
	if _, ok := f.Order(http.MethodPost, path, nil, other, leader); !ok {
		return fail("the first evacuation has no acknowledgement")
	}
	f.SleepUntil(18 * time.Second)
	if harness.Trouble() {
		cut.Begin(victim)
	}
	begin := f.Now()
	time.Sleep(100 * time.Millisecond)
	// The operator picks the process that is cut off, waits a second for its answer, and sends the same to
	// another one.
	if _, ok := f.Order(http.MethodDelete, path, nil, victim, other, leader); !ok {
		return fail("the end of the first evacuation has no acknowledgement")
	}
	f.SleepUntil(begin + 2500*time.Millisecond)
	second, ok := f.Order(http.MethodPost, path, nil, other, leader)
	if !ok {
		return fail("the second evacuation has no acknowledgement")
	}
	f.SleepUntil(begin + cutLength)
	if harness.Trouble() {
		cut.Heal()
	}
	// Bound of the rule, stretched as for an unstable core.
	from := second + harness.Evacuation + harness.OuterBound
	f.Logf("the evacuation of %s was acknowledged at %.3f; requests there count from %.3f on", zone, second.Seconds(), from.Seconds())
	f.SleepUntil(from + 10*time.Second)
	until := f.Now()
	return judge(f, zone, from, until)
}

// judge counts the requests that reached the zone in the time.
func judge(f *harness.Fleet, zone string, from, until time.Duration) int {
	mu.Lock()
	defer mu.Unlock()
	late, all := 0, 0
	for _, r := range runs {
		if r.at >= from && r.at < until {
			all++
			if r.zone == zone {
				late++
			}
		}
	}
	f.Logf("consumer's answers by status: %v", answered)
	f.Logf("from %.3f to %.3f: %d requests reached runners, %d of them in %s", from.Seconds(), until.Seconds(), all, late, zone)
	if all == 0 {
		f.Logf("could not run: no requests")
		return harness.ExitNotRun
	}
	if late > 0 {
		f.Logf("EVAC broken")
		return harness.ExitBroken
	}
	f.Logf("EVAC held")
	return harness.ExitHeld
}

func findLeader(f *harness.Fleet) (leader *harness.Process, others []*harness.Process) {
	for i, p := range f.Controls {
		if p.Leads(f.Address(101 + i)) {
			leader = p
		} else {
			others = append(others, p)
		}
	}
	return leader, others
}

func serve(f *harness.Fleet) func(*harness.Runner, http.ResponseWriter, *http.Request) {
	return func(r *harness.Runner, w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		runs = append(runs, run{f.Now(), r.Zone})
		mu.Unlock()
		f.Logf("runner %s in %s runs %s", r.ID, r.Zone, req.Header.Get("X-Fuchsiashed-Attempt-Id"))
		time.Sleep(15 * time.Millisecond)
		r.Answer(w, req)
	}
}

// consume sends requests to the routers in turn until ctx ends.
func consume(ctx context.Context, f *harness.Fleet) {
	c := &http.Client{Timeout: 1500 * time.Millisecond}
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go func() {
			url := fmt.Sprintf("http://%s%s%d", f.Routers[n%routers].Router(), prefix, n)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				return
			}
			req.Host = host
			req.Header.Set("X-Fuchsiashed-Attempt-Id", fmt.Sprintf("%016x", n+1))
			req.Header.Set("X-Fuchsiashed-Deadline-Remaining", "1500")
			resp, err := c.Do(req)
			status := 0
			if err == nil {
				status = resp.StatusCode
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			mu.Lock()
			answered[status]++
			mu.Unlock()
		}()
	}
}
