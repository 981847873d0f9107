// Package harness runs the fleet's programs as processes on loopback, for tests that kill,
// freeze and restart them.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// modules lists the workspace modules whose programs Build builds.
var modules = []string{"control", "dispatcher", "router", "cli", "standin"}

// Build builds the programs of the fleet into a folder with the go command.
func Build(folder string) error {
	root, err := workspaceRoot()
	if err != nil {
		return err
	}
	args := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, m := range modules {
		args = append(args, "./"+m+"/cmd/...")
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build the programs: %s", out)
}

// workspaceRoot returns the nearest folder that holds go.work, from the current one up.
func workspaceRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "find the workspace root")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("go.work is neither in the current folder nor in one above")
		}
		dir = parent
	}
}
