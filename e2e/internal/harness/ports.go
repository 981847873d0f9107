package harness

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// envFirstPort names the environment variable for the first port on which processes may
// listen.
const envFirstPort = "FUCHSIASHED_E2E_PORT"

const (
	// defaultFirstPort is below the usual range of ephemeral ports.
	defaultFirstPort = 24100
	// portCount is the number of ports to try.
	portCount = 900
	// portsPerRun is the approximate number of ports that a run of the tests needs.
	portsPerRun = 128
)

var ports struct {
	mu   sync.Mutex
	next int
}

// freeAddress returns a loopback address on which nothing listens. It returns no address
// twice until all ports have been tried.
func freeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	first := defaultFirstPort
	if n, err := strconv.Atoi(os.Getenv(envFirstPort)); err == nil {
		first = n
	}
	if ports.next == 0 {
		// Concurrent test runs start at different ports.
		ports.next = os.Getpid() * portsPerRun
	}
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", first+ports.next%portCount)
		ports.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(ln.Close(), "close the listener")
	}
	return "", errors.Errorf("no port from %d to %d is free; set %s", first, first+portCount-1, envFirstPort)
}
