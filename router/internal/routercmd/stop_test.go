package routercmd

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func (f *fixture) get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	f.control.mu.Lock()
	f.control.hosts["router-2"] = fleet.HostState{Host: "router-2", Role: fleet.RoleRouter, Address: "127.0.0.1:1", DataCentre: "riga-a"}
	f.control.mu.Unlock()
	time.Sleep(1200 * time.Millisecond)
	e := newEngineStream(700)
	e.eventInterval = 2 * time.Millisecond
	target := newFakeTarget(t, e.script)
	f.dispatcher.setTargets("drafter", target.addr)
	desk := newFakeTarget(t, plainAnswer("filed"))
	f.dispatcher.setTargets("desk", desk.addr)
	convey.Convey("A planned stop cuts no stream and accepts requests until older lists of hosts have expired", t, func() {
		self := strings.TrimPrefix(f.url, "http://")
		convey.So(f.get(t, f.url+"/v1/hosts"), convey.ShouldContainSubstring, self)
		long := make(chan callResult, 1)
		go func() { long <- f.call("POST", completionsPath, `{"stream":true}`) }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		began := time.Now()
		go func() { stopped <- f.app.Stop(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		hosts := f.get(t, f.url+"/v1/hosts")
		convey.So(hosts, convey.ShouldNotContainSubstring, self)
		convey.So(hosts, convey.ShouldContainSubstring, "127.0.0.1:1")
		late := f.call("GET", "/services/desk/status/1", "")
		convey.So(late.status, convey.ShouldEqual, 200)
		convey.So(f.get(t, f.admin+fleet.PathStatus), convey.ShouldContainSubstring, `"Stopping":true`)
		a := <-long
		convey.So(a.err, convey.ShouldBeNil)
		convey.So(a.body == e.body, convey.ShouldBeTrue)
		convey.So(<-stopped, convey.ShouldBeNil)
		convey.So(time.Since(began), convey.ShouldBeGreaterThan, 4*time.Second)
		convey.So(time.Since(began), convey.ShouldBeLessThan, 8*time.Second)
	})
}

func TestForcedStop(t *testing.T) {
	t.Parallel()
	f := startFixture(t)
	target := newFakeTarget(t, failFirst(func(*fakeTarget, netConn, *http.Request, string) { time.Sleep(3 * time.Second) }))
	f.dispatcher.setTargets("desk", target.addr)
	convey.Convey("A forced stop ends running requests with a verdict", t, func() {
		running := make(chan callResult, 1)
		go func() { running <- f.call("POST", "/services/desk/filings", "form", "Idempotency-Key", "forced") }()
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- f.app.Stop(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		close(f.force)
		a := <-running
		convey.So(a.err, convey.ShouldBeNil)
		convey.So(a.verdict(), convey.ShouldEqual, "MayHaveRun")
		convey.So(a.reason(), convey.ShouldEqual, "Stopping")
		convey.So(<-stopped, convey.ShouldBeNil)
		f.control.mu.Lock()
		defer f.control.mu.Unlock()
		convey.So(len(f.control.ends), convey.ShouldEqual, 1)
		convey.So(f.control.ends[0].Verdict, convey.ShouldEqual, fleet.MayHaveRun)
	})
}
