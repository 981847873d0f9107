package e2e_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// documented matches the declarations whose names docs/OPERATIONS.md has to contain.
var documented = map[string]*regexp.Regexp{
	"log event": regexp.MustCompile(`\b[A-Z]\w+ +Event += "([A-Za-z]+)"`),
	"log field": regexp.MustCompile(`\bField[A-Z]\w+ += "([A-Za-z]+)"`),
	"reason":    regexp.MustCompile(`Reason\w+ +Reason = "([A-Za-z]+)"`),
	"counter":   regexp.MustCompile(`expvar\.(?:NewMap|NewInt|Publish)\("([A-Za-z]+)"`),
	"decision":  regexp.MustCompile(`\bEvent[A-Z]\w+ += "([A-Za-z]+)"`),
	"outcome":   regexp.MustCompile(`Outcome\w+ +Outcome = "([A-Za-z]+)"`),
}

// literalEvent matches a log call whose event is a string literal instead of a constant.
var literalEvent = regexp.MustCompile(`(?i)\blog(?:ger)?(?:\(\))?\.(?:Info|Warn|Error|Debug)\("([A-Za-z]+)"`)

// programs lists the modules whose processes operators monitor.
var programs = []string{"fleet", "router", "dispatcher", "control", "platform"}

func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	must(t, err)
	words := map[string]bool{}
	for _, w := range regexp.MustCompile(`[A-Za-z]+`).FindAllString(string(page), -1) {
		words[w] = true
	}
	var missing, literal []string
	for _, module := range programs {
		err := filepath.WalkDir("../"+module, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			for _, m := range literalEvent.FindAllSubmatch(source, -1) {
				literal = append(literal, path+" "+string(m[1]))
			}
			for kind, pattern := range documented {
				for _, m := range pattern.FindAllSubmatch(source, -1) {
					if !words[string(m[1])] {
						missing = append(missing, kind+" "+string(m[1]))
					}
				}
			}
			return err
		})
		must(t, err)
	}
	convey.Convey("Every log event, reason, counter and decision is on the page for operators", t, func() {
		convey.So(missing, convey.ShouldBeEmpty)
	})
	convey.Convey("Events are named by the constants of fleet/logevent", t, func() {
		convey.So(literal, convey.ShouldBeEmpty)
	})
}
