package e2e_test

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/e2e/internal/harness"
	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const (
	completionsPath   = "/v1/chat/completions"
	completionRequest = `{"messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":10}`
	// inForceTimeout limits the time until an accepted configuration is in force in every
	// process.
	inForceTimeout = 6 * time.Second
)

func TestWholePath(t *testing.T) {
	f := startFleet(t, 3, 2, 2, harness.TargetsPerDataCentre(1, 1))
	requestsAreServed(t, f)
	runOnceCallIsReplayed(t, f)
	refusalsCarryReasonAndVerdict(t, f)
	appliedTextIsInForce(t, f)
}

func requestsAreServed(t *testing.T, f *harness.Fleet) {
	convey.Convey("Model requests are served through every router", t, func() {
		for _, r := range f.Routers {
			a, err := f.Call(r, harness.ModelService, http.MethodPost, completionsPath, "", completionRequest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.Status, convey.ShouldEqual, http.StatusOK)
			convey.So(strings.Count(a.Body, "data: "), convey.ShouldEqual, 11)
			convey.So(a.Body, convey.ShouldEndWith, "data: [DONE]\n\n")
			convey.So(a.RequestID, convey.ShouldNotBeEmpty)
			explained, err := f.CLI("explain", string(a.RequestID))
			convey.So(err, convey.ShouldBeNil)
			convey.So(explained, convey.ShouldContainSubstring, r.Name)
		}
	})
}

func runOnceCallIsReplayed(t *testing.T, f *harness.Fleet) {
	convey.Convey("A run-once call sent again through another router gets its first answer", t, func() {
		first, err := f.Call(f.Routers[0], harness.PlainService, http.MethodPost, "/filings", "filing-1", `{"Terrace":7}`)
		convey.So(err, convey.ShouldBeNil)
		convey.So(first.Status, convey.ShouldEqual, http.StatusOK)
		again, err := f.Call(f.Routers[1], harness.PlainService, http.MethodPost, "/filings", "filing-1", `{"Terrace":7}`)
		convey.So(err, convey.ShouldBeNil)
		convey.So(again.Body, convey.ShouldEqual, first.Body)
		runs := 0
		for _, p := range f.Targets {
			list, err := f.Runs(p)
			convey.So(err, convey.ShouldBeNil)
			for _, r := range list {
				if r.Key == "filing-1" {
					runs++
				}
			}
		}
		convey.So(runs, convey.ShouldEqual, 1)
	})
}

func refusalsCarryReasonAndVerdict(t *testing.T, f *harness.Fleet) {
	convey.Convey("Refusals carry the reason and the verdict NotRun", t, func() {
		tests := []struct {
			name, service, path, key, body string
			reason                         fleet.Reason
		}{
			{"no key", harness.PlainService, "/filings", "", "{}", fleet.ReasonKeyRequired},
			{"another body", harness.PlainService, "/filings", "filing-1", `{"Terrace":8}`, fleet.ReasonKeyMismatch},
			{"unknown service", "nowhere", "/", "", "{}", fleet.ReasonUnknownService},
		}
		for _, tt := range tests {
			a, err := f.Call(f.Routers[0], tt.service, http.MethodPost, tt.path, tt.key, tt.body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.Reason, convey.ShouldEqual, tt.reason)
			convey.So(a.Verdict, convey.ShouldEqual, "NotRun")
		}
	})
}

func appliedTextIsInForce(t *testing.T, f *harness.Fleet) {
	convey.Convey("An applied configuration is in force in every process within inForceTimeout", t, func() {
		path := filepath.Join(t.TempDir(), "fleet.ini")
		convey.So(os.WriteFile(path, []byte(harness.FleetText(1)), 0o600), convey.ShouldBeNil)
		_, err := f.CLI("fleet", "apply", path)
		convey.So(err, convey.ShouldBeNil)
		err = harness.Eventually(inForceTimeout, func() error {
			out, err := f.CLI("status")
			if err != nil {
				return err
			}
			if strings.Count(out, "\t2\t") < len(f.Routers)+len(f.Dispatchers) {
				return errors.Errorf("not every process runs under version 2:\n%s", out)
			}
			return nil
		})
		convey.So(err, convey.ShouldBeNil)
		_, err = f.CLI("fleet", "apply", "--base", "1", path)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "based on version 1, but version 2 is in force")
	})
}

func TestExamples(t *testing.T) {
	convey.Convey("Every example is accepted by the program that reads it", t, func() {
		f, err := harness.New(harness.Config{Bin: binFolder, Folder: t.TempDir(), Control: 1})
		convey.So(err, convey.ShouldBeNil)
		for _, name := range []string{"lv-riga", "ro-centru"} {
			out, err := f.CLI("fleet", "check", "../examples/"+name+".ini")
			convey.So(err, convey.ShouldBeNil)
			convey.So(out, convey.ShouldContainSubstring, "region "+name)
			convey.So(out, convey.ShouldContainSubstring, "16 customers")
		}
		for _, role := range []string{"control", "dispatcher", "router", "standin"} {
			cmd := exec.Command(filepath.Join(binFolder, "fuchsiashed-"+role), "--settings", "../examples/hosts/"+role+"-1.ini", "--check")
			out, err := cmd.CombinedOutput()
			convey.So(string(out), convey.ShouldContainSubstring, "settings are valid")
			convey.So(err, convey.ShouldBeNil)
		}
	})
}
