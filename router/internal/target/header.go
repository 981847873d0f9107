package target

import (
	"net/http"
	"strings"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// ownPrefix begins the names of the fleet's own headers.
const ownPrefix = "Fuchsiashed-"

// EndToEnd returns the headers that are passed on: neither those of one connection nor
// the fleet's own.
func EndToEnd(h http.Header) http.Header {
	passed := targetconn.EndToEnd(h)
	for name := range passed {
		if strings.HasPrefix(name, ownPrefix) {
			delete(passed, name)
		}
	}
	return passed
}
