// Package mutant builds the program of the deployment, and builds it with one mechanism
// switched off, to see whether the soak finds it.
package mutant

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// program is the package of the deployment's program, below the root of the sources.
const program = "./platform/cmd/fuchsiashed-platform"

// mechanism is a line of the sources whose change switches a promise off.
type mechanism struct {
	file     string
	old, new string
}

// mechanisms are those that can be switched off, by the promise that rests on them.
var mechanisms = map[string]mechanism{
	"AtMostOnce": {
		"fleet/deployment/deployment.go",
		"return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable",
		"return true",
	},
	"NotRunIsTrue": {
		"router/forward/exchange.go",
		"x.out.fail(http.StatusBadGateway, x.forwarder.cfg.Headers, id, e.Reason, 0)",
		"x.out.fail(http.StatusServiceUnavailable, x.forwarder.cfg.Headers, id, e.Reason, 0)",
	},
	"WholeAnswer": {
		"router/forward/exchange.go",
		"x.out.fail(http.StatusBadGateway, x.forwarder.cfg.Headers, id, e.Reason, 0)",
		"if !x.out.begun { x.out.fail(http.StatusBadGateway, x.forwarder.cfg.Headers, id, e.Reason, 0) }",
	},
	"NeverBack": {
		"fleet/quorum/leader.go",
		"return r.leading && ok && !at.Before(t)",
		"return r.leading && ok && (true || !at.Before(t))",
	},
	"LeftGetsNothing": {
		"fleet/placement/choose.go",
		"t.entry.State == fleet.TargetServing && !r.dataCentresOut[t.entry.DataCentre] && !k.isTried(t.id)",
		"!r.dataCentresOut[t.entry.DataCentre] && !k.isTried(t.id)",
	},
	"OutGetsNothing": {
		"fleet/placement/choose.go",
		"t.entry.State == fleet.TargetServing && !r.dataCentresOut[t.entry.DataCentre] && !k.isTried(t.id)",
		"t.entry.State == fleet.TargetServing && !k.isTried(t.id)",
	},
	"StopCutsNothing": {
		"platform/internal/platformcmd/router.go",
		"sleep(ctx, drainTime)",
		"return c.server.Close()",
	},
	"Majority": {
		"fleet/quorum/leader.go",
		"return matches[len(matches)/2]",
		"return matches[0]",
	},
}

// Names returns the mechanisms that can be switched off.
func Names() []string {
	var names []string
	for name := range mechanisms {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Root returns the root of the sources, which holds go.work.
func Root(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOWORK").Output()
	if err != nil {
		return "", errors.Wrap(err, "go env")
	}
	work := strings.TrimSpace(string(out))
	if work == "" || work == "off" {
		return "", errors.New("the sources are not in a Go workspace; run inside the repository, or name a program with --binary")
	}
	return filepath.Dir(work), nil
}

// Build builds the program into a folder and returns its path. Without names the
// mechanism to switch off; empty for none.
func Build(ctx context.Context, folder, without string) (string, error) {
	root, err := Root(ctx)
	if err != nil {
		return "", err
	}
	binary := filepath.Join(folder, "fuchsiashed-platform")
	args := []string{"build", "-o", binary}
	if without != "" {
		overlay, err := write(root, folder, without)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, program)...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return binary, nil
}

// write writes the changed source and the overlay that puts it in place of the real one.
func write(root, folder, without string) (string, error) {
	m, ok := mechanisms[without]
	if !ok {
		return "", errors.Errorf("mechanism %q is unknown; there are %s", without, strings.Join(Names(), ", "))
	}
	path := filepath.Join(root, m.file)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read source")
	}
	if strings.Count(string(source), m.old) != 1 {
		return "", errors.Errorf("%s does not have the line of %s once", m.file, without)
	}
	changed := filepath.Join(folder, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600); err != nil {
		return "", errors.Wrap(err, "write source")
	}
	overlay, err := json.Marshal(struct{ Replace map[string]string }{map[string]string{path: changed}})
	if err != nil {
		return "", errors.Wrap(err, "encode overlay")
	}
	name := filepath.Join(folder, "overlay.json")
	return name, errors.Wrap(os.WriteFile(name, overlay, 0o600), "write overlay")
}
