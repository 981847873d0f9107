package target

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix begins the names of the fleet's own headers.
const ownPrefix = "Fuchsiashed-"

// EndToEnd returns the headers that are passed on: neither those of one connection,
// nor those that its Connection header names, nor the fleet's own.
func EndToEnd(h http.Header) http.Header {
	passed := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			passed.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	for name := range passed {
		if strings.HasPrefix(name, ownPrefix) {
			delete(passed, name)
		}
	}
	return passed
}
