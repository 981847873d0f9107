// Package harness runs the programs of the fleet as real processes on loopback, for
// tests that kill, freeze and restart them.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// modules lists the modules whose programs are built.
var modules = []string{"control", "dispatcher", "router", "cli", "standin"}

// Build builds all programs into a folder.
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

// workspace returns the folder that holds go.work.
func workspaceRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "find the workspace")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no folder above holds go.work")
		}
		dir = parent
	}
}
