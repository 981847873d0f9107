package harness

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// envFirstPort names the first port that the processes may listen on.
const envFirstPort = "FUCHSIASHED_E2E_PORT"

const (
	// defaultFirstPort is below the range that systems give to outgoing connections.
	defaultFirstPort = 24100
	// portRange is the number of ports tried.
	portCount = 900
	// portsPerRun is about the number of ports that a run of the tests needs.
	portsPerRun = 128
)

var ports struct {
	mu   sync.Mutex
	next int
}

// freeAddress returns a loopback address that nothing listens on and that was not
// returned before, until the range is used up.
func freeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	first := defaultFirstPort
	if n, err := strconv.Atoi(os.Getenv(envFirstPort)); err == nil {
		first = n
	}
	if ports.next == 0 {
		// Test runs at the same time start at different ports.
		ports.next = os.Getpid() * portsPerRun
	}
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", first+ports.next%portCount)
		ports.next++
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(ln.Close(), "close the port tried")
	}
	return "", errors.Errorf("no port from %d to %d is free; set %s", first, first+portCount-1, envFirstPort)
}
