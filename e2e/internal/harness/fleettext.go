package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// The services of Text.
const (
	ModelService = "drafter"
	PlainService = "desk"
)

// Text is a fleet text with both services, three customers and short bounds. The
// revision changes its hash and nothing else.
func FleetText(revision int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "; revision %d\n[Fleet]\nRegion = test\n[DataCentre dc-a]\n[DataCentre dc-b]\n", revision)
	fmt.Fprintf(&b, "[Service %s]\nProtocol = Model\nIdempotent = POST /v1/chat/completions\nMaxCost = 4000\nIdleTimeout = 1s\nQueueTimeout = 20s\nRequestTimeout = 30s\n", ModelService)
	fmt.Fprintf(&b, "[Service %s]\nProtocol = Plain\nIdempotent = GET /status/*\nMaxCost = 5000\nIdleTimeout = 1s\nQueueTimeout = 20s\nRequestTimeout = 30s\n", PlainService)
	b.WriteString("[Policy]\nHostsValidity = 1s\nReturnRamp = 1s\nQuarantineFor = 5m\nStandingSlots = 1\n")
	for _, c := range []string{"large", "small-1", "small-2"} {
		sum := sha256.Sum256([]byte("key-" + c))
		fmt.Fprintf(&b, "[Customer %s]\nKeyHash = %s\n", c, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

// Targets returns so many targets of each service in each of both data centres.
func TargetsPerDataCentre(modelTargets, plainTargets int) []Target {
	var list []Target
	for _, dc := range []string{"dc-a", "dc-b"} {
		for i := range modelTargets {
			list = append(list, Target{Name: fmt.Sprintf("drafter-%s-%d", dc, i+1), Service: ModelService, Protocol: "Model", DataCentre: dc, Slots: 8})
		}
		for i := range plainTargets {
			list = append(list, Target{Name: fmt.Sprintf("desk-%s-%d", dc, i+1), Service: PlainService, Protocol: "Plain", DataCentre: dc, Slots: 8})
		}
	}
	return list
}
