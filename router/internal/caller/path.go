package caller

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

const servicesPrefix = "/services/"

// ambiguousPath matches paths that a target may read as another path than the one by
// which the router decides whether a call is idempotent: those with dot segments, empty
// segments, encoded slashes, backslashes, encoded dots or percent signs, or control
// characters.
var ambiguousPath = regexp.MustCompile(`(?i)//|\\|%2f|%5c|%2e|%0[0-9a-f]|%1[0-9a-f]|%7f|%25|/\.{1,2}(/|$)`)

// splitPath returns the service of a request and the path below the service's root, as
// sent and unescaped. It fails if the path is ambiguous.
func splitPath(r *http.Request) (service fleet.ServiceName, escaped, plain string, err error) {
	raw := r.URL.EscapedPath()
	if ambiguousPath.MatchString(raw) || strings.ContainsAny(raw, " ;") {
		return "", "", "", errors.New("path has a dot segment, an empty segment or an encoded separator")
	}
	rest, ok := strings.CutPrefix(raw, servicesPrefix)
	if !ok {
		return "", "", "", errors.New("path does not begin with " + servicesPrefix)
	}
	name, escapedBelow, _ := strings.Cut(rest, "/")
	if strings.Contains(name, "%") {
		return "", "", "", errors.New("service name is escaped")
	}
	plainBelow := strings.TrimPrefix(r.URL.Path, servicesPrefix+name)
	if plainBelow == "" {
		plainBelow = "/"
	}
	return fleet.ServiceName(name), "/" + escapedBelow, plainBelow, nil
}

// allowedMethods are the methods that are passed on to targets.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// methodOverrideHeaders lists headers that make some servers use another method than
// that of the request.
var methodOverrideHeaders = []string{"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"}
