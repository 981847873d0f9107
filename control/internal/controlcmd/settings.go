package controlcmd

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/program"
)

// syncModeEach is the value of Sync that syncs one record at a time.
const syncModeEach = "Each"

// settingsFile mirrors the sections of the settings file.
type settingsFile struct {
	Host     program.HostSection
	Control  controlSection
	Replicas replicasSection
}

// controlSection is the [Control] section.
type controlSection struct {
	// Listen is the address for the connections of replicas and all other processes.
	Listen netip.AddrPort
	// DataFolder holds the replica's log.
	DataFolder string
	// Bootstrap permits this replica to found a new quorum together with all others. It is
	// ignored once any replica has a log, so it may stay set.
	Bootstrap bool `default:"false"`
	// Sync is Group to sync all queued records at once, or Each to sync one at a time.
	Sync string `default:"Group" allowed:"Group, Each"`
	// SnapshotEntries is the number of log entries after which the replica takes a snapshot.
	SnapshotEntries int `default:"500" min:"10" max:"1000000"`
	// Record is the file to which the event log is appended, for replay; empty for none.
	Record string `default:""`
}

// replicasSection is the [Replicas] section.
type replicasSection struct {
	// Members lists all control replicas, this one included.
	Members []member
}

// member is one replica, written HOST@ADDRESS:PORT.
type member struct {
	Host    fleet.HostID
	Address netip.AddrPort
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *member) UnmarshalText(text []byte) error {
	host, addr, found := strings.Cut(string(text), "@")
	if !found {
		return errors.Errorf("value %q is not a replica; write HOST@IP:PORT", text)
	}
	if err := fleet.CheckName("replica", host); err != nil {
		return err
	}
	m.Host = fleet.HostID(host)
	return m.Address.UnmarshalText([]byte(addr))
}

// find returns the address of a replica, or false if it is not in Members.
func (s *replicasSection) find(host fleet.HostID) (netip.AddrPort, bool) {
	for _, m := range s.Members {
		if m.Host == host {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// hosts returns the names of all replicas.
func (s *replicasSection) hosts() []fleet.HostID {
	hosts := make([]fleet.HostID, len(s.Members))
	for i := range hosts {
		hosts[i] = s.Members[i].Host
	}
	return hosts
}

// others returns the addresses of all replicas except self.
func (s *replicasSection) others(self fleet.HostID) map[fleet.HostID]netip.AddrPort {
	addresses := map[fleet.HostID]netip.AddrPort{}
	for _, m := range s.Members {
		if m.Host != self {
			addresses[m.Host] = m.Address
		}
	}
	return addresses
}

// Check implements fleet.Checker.
func (s *replicasSection) Check() error {
	seen := map[fleet.HostID]bool{}
	for _, m := range s.Members {
		if seen[m.Host] {
			return errors.Errorf("replica %q is listed twice in Members", m.Host)
		}
		seen[m.Host] = true
	}
	if len(s.Members)%2 == 0 {
		return errors.Errorf("Members lists %d replicas; an odd number is needed, such as 3 or 5", len(s.Members))
	}
	return nil
}
