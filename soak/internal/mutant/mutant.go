// Package mutant builds the deployment's program, optionally with one mechanism disabled
// (mutation testing), to check that the soak finds the violations that this causes.
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

// programPackage is the main package of the deployment's program, relative to the root of the
// Go workspace.
const programPackage = "./platform/cmd/fuchsiashed-platform"

// mutation is a replacement within one line of the sources that disables a mechanism.
type mutation struct {
	// file is relative to the root of the Go workspace.
	file string
	// old must occur exactly once in file.
	old, new string
}

// mutations holds the mutations by the name of the guarantee that depends on the mechanism.
var mutations = map[string]mutation{
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
		"t.isServing() && !r.dataCentresOut[t.entry.DataCentre]",
		"!r.dataCentresOut[t.entry.DataCentre]",
	},
	"OutGetsNothing": {
		"fleet/placement/choose.go",
		"t.isServing() && !r.dataCentresOut[t.entry.DataCentre]",
		"t.isServing()",
	},
	"OneVersion": {
		"fleet/placement/stream.go",
		"return k.origin == nil || k.origin.Version == t.entry.SoftwareVersion",
		"return true",
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

// Names returns the names of all mutations, sorted.
func Names() []string {
	var names []string
	for name := range mutations {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// WorkspaceRoot returns the folder that holds go.work. It fails outside a Go workspace.
func WorkspaceRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOWORK").Output()
	if err != nil {
		return "", errors.Wrap(err, "go env")
	}
	workspaceFile := strings.TrimSpace(string(out))
	if workspaceFile == "" || workspaceFile == "off" {
		return "", errors.New("not in a Go workspace: run inside the repository, or pass a built program with --binary")
	}
	return filepath.Dir(workspaceFile), nil
}

// Build builds the deployment's program into folder and returns the path of the binary. With a
// mutationName the mutation of that name is applied; the sources are not changed.
func Build(ctx context.Context, folder, mutationName string) (string, error) {
	root, err := WorkspaceRoot(ctx)
	if err != nil {
		return "", err
	}
	binary := filepath.Join(folder, "fuchsiashed-platform")
	args := []string{"build", "-o", binary}
	if mutationName != "" {
		overlay, err := writeOverlay(root, folder, mutationName)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, programPackage)...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return binary, nil
}

// writeOverlay writes the mutated source file and a build overlay that replaces the original
// with it, and returns the path of the overlay.
func writeOverlay(root, folder, mutationName string) (string, error) {
	m, ok := mutations[mutationName]
	if !ok {
		return "", errors.Errorf("unknown mechanism %q; known are %s", mutationName, strings.Join(Names(), ", "))
	}
	sourcePath := filepath.Join(root, m.file)
	source, err := os.ReadFile(sourcePath)
	if err != nil {
		return "", errors.Wrap(err, "read source")
	}
	if strings.Count(string(source), m.old) != 1 {
		return "", errors.Errorf("%s does not contain the line to replace for %s exactly once", m.file, mutationName)
	}
	mutatedPath := filepath.Join(folder, "changed.go")
	if err := os.WriteFile(mutatedPath, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600); err != nil {
		return "", errors.Wrap(err, "write source")
	}
	overlay, err := json.Marshal(struct{ Replace map[string]string }{map[string]string{sourcePath: mutatedPath}})
	if err != nil {
		return "", errors.Wrap(err, "encode overlay")
	}
	overlayPath := filepath.Join(folder, "overlay.json")
	return overlayPath, errors.Wrap(os.WriteFile(overlayPath, overlay, 0o600), "write overlay")
}
