package target

import (
	"net/http"
	"strings"

	"github.com/fuchsiashed/fuchsiashed/router/targetconn"
)

// fleetHeaderPrefix begins the names of the fleet's own headers.
const fleetHeaderPrefix = "Fuchsiashed-"

// EndToEnd returns a copy of h without the hop-by-hop headers and the fleet's own.
func EndToEnd(h http.Header) http.Header {
	endToEnd := targetconn.EndToEnd(h)
	for name := range endToEnd {
		if strings.HasPrefix(name, fleetHeaderPrefix) {
			delete(endToEnd, name)
		}
	}
	return endToEnd
}
