package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// The services of Text.
const (
	Model = "drafter"
	Plain = "desk"
)

// Text is a fleet text with both services, three customers and short bounds. The
// revision changes its hash and nothing else.
func Text(revision int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "; revision %d\n[Fleet]\nRegion = test\n[DataCentre dc-a]\n[DataCentre dc-b]\n", revision)
	fmt.Fprintf(&b, "[Service %s]\nProtocol = Model\nIdempotent = POST /v1/chat/completions\nMaxCost = 4000\nIdleTimeout = 1s\nQueueTimeout = 20s\nRequestTimeout = 30s\n", Model)
	fmt.Fprintf(&b, "[Service %s]\nProtocol = Plain\nIdempotent = GET /status/*\nMaxCost = 5000\nIdleTimeout = 1s\nQueueTimeout = 20s\nRequestTimeout = 30s\n", Plain)
	b.WriteString("[Policy]\nHostsValidity = 1s\nReturnRamp = 1s\nQuarantineFor = 5m\nStandingSlots = 1\n")
	for _, c := range []string{"large", "small-1", "small-2"} {
		sum := sha256.Sum256([]byte("key-" + c))
		fmt.Fprintf(&b, "[Customer %s]\nKeyHash = %s\n", c, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

// Targets returns so many targets of each service in each of both data centres.
func Targets(models, plains int) []Target {
	var list []Target
	for _, dc := range []string{"dc-a", "dc-b"} {
		for i := range models {
			list = append(list, Target{Name: fmt.Sprintf("drafter-%s-%d", dc, i+1), Service: Model, Protocol: "Model", DataCentre: dc, Slots: 8})
		}
		for i := range plains {
			list = append(list, Target{Name: fmt.Sprintf("desk-%s-%d", dc, i+1), Service: Plain, Protocol: "Plain", DataCentre: dc, Slots: 8})
		}
	}
	return list
}
