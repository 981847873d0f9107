package routing

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// HostStaleAfter is the age of a host's last heartbeat after which the hosts answer leaves it
// out. It must not be lower than the time after which control removes a host: control sends
// its list only when it has changed, so a host that still sends heartbeats could be left out.
const HostStaleAfter = 10 * time.Second

// Host is one entry of the hosts answer.
type Host struct {
	Address    string
	DataCentre fleet.DataCentreName
}

// HostsAnswer lists the hosts that a caller may use, in order of preference.
type HostsAnswer struct {
	Hosts []Host
	// ValidSeconds is how long the caller may cache the answer.
	ValidSeconds float64
}

// ChooseHosts returns the hosts that take requests, in an order that spreads customers over
// them; rotation rotates the order to spread the callers of one customer. Hosts that are
// stopping, or that no dispatcher answers, are listed only if there are no others.
func ChooseHosts(known []fleet.HostState, dataCentresOut map[fleet.DataCentreName]bool, customer fleet.CustomerName, service fleet.ServiceName, rotation uint64) []Host {
	list := rankHosts(known, dataCentresOut, customer, service, false)
	if len(list) == 0 {
		list = rankHosts(known, dataCentresOut, customer, service, true)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	hosts := make([]Host, 0, len(list))
	for i := range list {
		hosts = append(hosts, list[(i+int(rotation%uint64(len(list))))%len(list)].Host)
	}
	return hosts
}

type rankedHost struct {
	Host
	rank uint64
}

// rankHosts returns the usable routers whose Stopping is as given, with their ranks.
func rankHosts(known []fleet.HostState, dataCentresOut map[fleet.DataCentreName]bool, customer fleet.CustomerName, service fleet.ServiceName, stopping bool) []rankedHost {
	var list []rankedHost
	for _, h := range known {
		if h.Role != fleet.RoleRouter || h.Stopping != stopping || h.Age > HostStaleAfter || dataCentresOut[h.DataCentre] {
			continue
		}
		list = append(list, rankedHost{Host{h.Address, h.DataCentre}, hostRank(string(customer), string(service), string(h.Host))})
	}
	return list
}

// hostRank hashes strings to a rank that is spread evenly.
func hostRank(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		// Writing to a hash never fails.
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return splitMix64(h.Sum64(), 0)
}
