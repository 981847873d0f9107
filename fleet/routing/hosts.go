package routing

import (
	"hash/fnv"
	"sort"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// HostStaleAfter is the time without a heartbeat after which a host leaves the hosts
// answer. Control forgets a host after the same time; its list is sent only when it
// changed, so a lower bound could leave out a host that has been heard of since.
const HostStaleAfter = 10 * time.Second

// Host is one entry of the hosts answer.
type Host struct {
	Address    string
	DataCentre fleet.DataCentreName
}

// HostsAnswer tells a caller which hosts to use, the best first.
type HostsAnswer struct {
	Hosts []Host
	// ValidSeconds is how long the answer may be kept.
	ValidSeconds float64
}

// ChooseHosts returns the hosts that take requests, in an order that spreads the
// customers over them; the rotation spreads the callers of one customer. Hosts that
// stop or are cut off are named only when there is no other.
func ChooseHosts(known []fleet.HostState, out map[fleet.DataCentreName]bool, c fleet.CustomerName, s fleet.ServiceName, rotation uint64) []Host {
	list := rankHosts(known, out, c, s, false)
	if len(list) == 0 {
		list = rankHosts(known, out, c, s, true)
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

func rankHosts(known []fleet.HostState, out map[fleet.DataCentreName]bool, c fleet.CustomerName, s fleet.ServiceName, stopping bool) []rankedHost {
	var list []rankedHost
	for _, h := range known {
		if h.Role != fleet.RoleRouter || h.Stopping != stopping || h.Age > HostStaleAfter || out[h.DataCentre] {
			continue
		}
		list = append(list, rankedHost{Host{h.Address, h.DataCentre}, rank(string(c), string(s), string(h.Host))})
	}
	return list
}

func rank(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		// A hash never fails to write.
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64(), 0)
}
