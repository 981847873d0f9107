package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Names of the services in FleetText.
const (
	ModelService = "drafter"
	PlainService = "desk"
)

// FleetText returns a configuration in the fleet text format with both services, three
// customers and short time-outs. Texts that differ in the revision alone have the same
// settings and different hashes.
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

// TargetsPerDataCentre returns the given numbers of model and plain targets for each of the
// data centres dc-a and dc-b, with 8 slots each.
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
