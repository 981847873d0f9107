// Command case-4 shows that a part of prompts is never kept from the runners that it crashes if they
// crash after they have begun to write the answer.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiashed/fuchsiashed/review/harness"
)

const (
	controls, routers, runnersPerZone = 3, 3, 3
	// runnerDownFor is how long a crashed runner is away.
	runnerDownFor = 4 * time.Second
	// deadlyInterval is the time between two requests with the deadly part.
	deadlyInterval = 2 * time.Second
	// requestsPerSecond is the rate of the other requests.
	requestsPerSecond = 30
	// countedCrashes and allowedRequests are those of the rule.
	countedCrashes, allowedRequests = 5, 3
	events                          = 8
	eventInterval                   = 40 * time.Millisecond
	// The parts of the prompts. All requests share the first one.
	sharedPart, deadlyPart = "5c1e07a2", "91bd3f06"
	host, prefix           = "app.example", "/draft/"
)

var (
	mu sync.Mutex
	// sent has the time at which each request with the deadly part was sent, reached the time at which it
	// came to a runner.
	sent     = map[string]time.Duration{}
	reached  []string
	crashes  []time.Duration
	answered = map[string]int{}
	// early makes runners crash before they have written anything of the answer.
	early = os.Getenv("EARLY") == "1"
)

func main() { os.Exit(play()) }

func play() int {
	f, err := harness.New("review/4/record.txt")
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
	if err := f.StartProcesses(controls, routers, false); err != nil {
		return fail("%v", err)
	}
	for z, zone := range harness.Zones {
		for i := range runnersPerZone {
			if _, err := f.AddRunner(z*runnersPerZone+i, "llm", zone, 64, serve(f)); err != nil {
				return fail("%v", err)
			}
		}
	}
	config := map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-1", "host": host, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 800, "gapTargetMs": 600,
			"priority": 1, "service": "llm", "maxAttempts": 1, "public": false, "sessionAffinity": true, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "connectionLimit": 370, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
			"inferenceEngine": map[string]any{"slots": 64, "kvCacheTokens": 427134, "models": []any{map[string]any{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 490000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}, "priority": 1}},
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
	f.SleepUntil(6 * time.Second)
	f.Go(func(ctx context.Context) { sendSound(ctx, f) })
	f.SleepUntil(10 * time.Second)
	f.Go(func(ctx context.Context) { sendDeadly(ctx, f) })
	f.SleepUntil(50 * time.Second)
	return judge(f)
}

func judge(f *harness.Fleet) int {
	mu.Lock()
	defer mu.Unlock()
	f.Logf("answers: %v", answered)
	f.Logf("%d crashes, %d requests with the part reached runners", len(crashes), len(reached))
	if len(crashes) < countedCrashes {
		if len(reached) == 0 {
			f.Logf("could not run: no request with the part reached a runner")
			return harness.ExitNotRun
		}
		f.Logf("BUDGET held: fewer than %d crashes", countedCrashes)
		return harness.ExitHeld
	}
	from := crashes[countedCrashes-1] + harness.ContactWindow
	counted := 0
	for _, id := range reached {
		if sent[id] > from {
			counted++
		}
	}
	f.Logf("%d requests with the part reached runners that were sent later than the contact window after crash %d (%.3f); %d are allowed",
		counted, countedCrashes, from.Seconds(), allowedRequests)
	if counted > allowedRequests {
		f.Logf("BUDGET broken")
		return harness.ExitBroken
	}
	f.Logf("BUDGET held")
	return harness.ExitHeld
}

func serve(f *harness.Fleet) func(*harness.Runner, http.ResponseWriter, *http.Request) {
	return func(r *harness.Runner, w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Fuchsiashed-Attempt-Id")
		isDeadly := strings.Contains(req.Header.Get("X-Fuchsiashed-Prompt-Prefix"), deadlyPart+":")
		if isDeadly {
			mu.Lock()
			reached = append(reached, id)
			mu.Unlock()
		}
		f.Logf("runner %s runs %s, deadly part %t", r.ID, id, isDeadly)
		crash := func() {
			mu.Lock()
			crashes = append(crashes, f.Now())
			mu.Unlock()
			r.Crash(runnerDownFor)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(eventInterval)
		if isDeadly && harness.Trouble() && early {
			crash()
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Fuchsiashed-Server-Stamp", r.ID+"."+id)
		for n := range events {
			if r.IsDown() {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(eventInterval)
			if isDeadly && harness.Trouble() {
				crash()
			}
		}
	}
}

// sendDeadly sends requests with the deadly part until ctx ends, no two alike, at a router after the other.
func sendDeadly(ctx context.Context, f *harness.Fleet) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("dead%012x", n+1)
		mu.Lock()
		sent[id] = f.Now()
		mu.Unlock()
		go send(ctx, f, n, id, fmt.Sprintf("%s:800,%s:400,%08x:250", sharedPart, deadlyPart, 0x20000000+n), "deadly")
		select {
		case <-ctx.Done():
		case <-time.After(deadlyInterval):
		}
	}
}

// sendSound sends other requests until ctx ends. They have the first part and one of a few others.
func sendSound(ctx context.Context, f *harness.Fleet) {
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go send(ctx, f, n, fmt.Sprintf("%016x", n+1), fmt.Sprintf("%s:800,%08x:400,%08x:250", sharedPart, 0x10000000+n%12, 0x40000000+n), "sound")
	}
}

func send(ctx context.Context, f *harness.Fleet, n int, id, parts, what string) {
	c := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body := strings.NewReader("prompt " + id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s%d", f.Routers[n%routers].Router(), prefix, n), body)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("X-Fuchsiashed-Attempt-Id", id)
	req.Header.Set("X-Fuchsiashed-Deadline-Remaining", "6000")
	req.Header.Set("X-Fuchsiashed-Model-Name", "m")
	req.Header.Set("X-Fuchsiashed-Token-Counts", "1450,80")
	req.Header.Set("X-Fuchsiashed-Prompt-Prefix", parts)
	resp, err := c.Do(req)
	result := "no answer"
	if err == nil {
		result = fmt.Sprint(resp.StatusCode)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			result += ", broken off"
		}
		resp.Body.Close()
	}
	mu.Lock()
	answered[what+" "+result]++
	mu.Unlock()
	if what == "deadly" {
		f.Logf("request %s with the part at %s: %s", id, f.Routers[n%routers].Name, result)
	}
}
