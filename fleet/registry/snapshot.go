package registry

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/invariant"
)

// snapshotData is the encoded form of a State.
type snapshotData struct {
	State stateData
	// Calls lists the calls of the ledger, each after its length as an unsigned varint: the
	// running ones by router and key, then the ended ones by the time of their end.
	Calls []byte
}

// Snapshot implements quorum.StateMachine.
func (s *State) Snapshot() []byte {
	return must(encoding.Marshal(snapshotData{State: s.data, Calls: s.ledger.encodeCalls()}))
}

// Restore implements quorum.StateMachine.
func (s *State) Restore(snapshot []byte) error {
	var d snapshotData
	if err := decoding.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if !invariant.Check(d.State.Version >= s.data.Version, "VersionNeverReverts",
		"a snapshot of version %d follows version %d", d.State.Version, s.data.Version) {
		return errors.Errorf("version %d is lower than %d", d.State.Version, s.data.Version)
	}
	s.reset()
	operations, leases := s.data.Operations, s.data.Leases
	s.data = d.State
	if s.data.Operations == nil {
		s.data.Operations = operations
	}
	if s.data.Leases == nil {
		s.data.Leases = leases
	}
	return s.ledger.restore(d.Calls)
}

// restore adds the calls in the form of encodeCalls to an empty ledger.
func (l *ledger) restore(calls []byte) error {
	for len(calls) > 0 {
		n, width := binary.Uvarint(calls)
		if width <= 0 || n > uint64(len(calls)-width) {
			return errors.New("ledger call is truncated or its length is invalid")
		}
		raw := calls[width : width+int(n)]
		calls = calls[width+int(n):]
		c := &call{raw: raw}
		if err := decoding.Unmarshal(raw, c); err != nil {
			return errors.Wrap(err, "decode ledger call")
		}
		l.put(c)
	}
	return nil
}

// encodeCalls returns all calls in the form of snapshotData.Calls.
func (l *ledger) encodeCalls() []byte {
	calls := make([]byte, 0, l.encodedSize)
	for _, host := range sortedHosts(l.running) {
		for _, key := range sortedKeys(l.running[host]) {
			calls = appendCall(calls, l.calls[key])
		}
	}
	for _, e := range l.ended {
		if c := l.calls[e.key]; c != nil && c.State != callRunning && c.Index == e.index {
			calls = appendCall(calls, c)
		}
	}
	return calls
}

func appendCall(buf []byte, c *call) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(c.raw))), c.raw...)
}

func sortedHosts(m map[fleet.HostID]map[fleet.LedgerKey]bool) []fleet.HostID {
	hosts := make([]fleet.HostID, 0, len(m))
	for h := range m {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

func sortedKeys(m map[fleet.LedgerKey]bool) []fleet.LedgerKey {
	keys := make([]fleet.LedgerKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.LedgerKey) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	return keys
}
