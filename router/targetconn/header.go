package targetconn

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the hop-by-hop headers and those that its
// Connection header names.
func EndToEnd(h http.Header) http.Header {
	endToEnd := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		endToEnd.Del(name)
	}
	return endToEnd
}
