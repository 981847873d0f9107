package feed

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/logevent"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// reportLoads sends the router's load to the control host that collects loads, until
// Stop.
func (f *Follower) reportLoads() {
	for {
		timer := time.NewTimer(f.reportInterval())
		select {
		case <-f.stop:
			timer.Stop()
			return
		case <-timer.C:
		}
		addr, ok := f.loadCollector()
		if !ok {
			continue
		}
		for _, e := range f.cfg.Reduce(placement.ReportDue{}) {
			if r, ok := e.(placement.Report); ok {
				if r.HasWork() {
					f.noteWork()
				}
				f.sendLoad(addr, r.RouterLoad)
			}
		}
	}
}

// reportInterval returns the time until the next report. Before the first digest, all routers
// count as busy.
func (f *Follower) reportInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.Clock.Now().Sub(f.lastWork) >= fleet.RouterIdleAfter {
		return fleet.IdleReportInterval
	}
	if f.busyRouters > 0 {
		return fleet.ReportInterval(f.busyRouters)
	}
	return fleet.ReportInterval(len(f.routers))
}

// noteWork records that the router has requests.
func (f *Follower) noteWork() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastWork = f.cfg.Clock.Now()
}

// loadCollector returns the address of the leader named by the newest confirmed notice,
// to which loads are reported, or false if there is none.
func (f *Follower) loadCollector() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest receivedNotice
	for _, n := range f.notices {
		if n.Confirmed && n.Leader != "" && n.receivedAt.After(newest.receivedAt) {
			newest = n
		}
	}
	addr, err := netip.ParseAddrPort(string(newest.Leader))
	return addr, err == nil
}

func (f *Follower) sendLoad(addr netip.AddrPort, load fleet.RouterLoad) {
	client := f.clients.Client(addr)
	if client == nil {
		return
	}
	f.mu.Lock()
	load.Stopping, load.Away, load.Utilisation, load.Room = f.stopping, f.redirectShare, f.utilisation, f.room
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := client.Notify(ctx, fleet.MethodLoad, &load); err != nil {
		f.cfg.Log.Debug(logevent.ReportFailed, "control", addr.String(), "error", err)
	}
}

// runHeartbeats sends heartbeats to all control hosts until Stop, early ones too. It also updates the
// list of routers as notices expire, and retries fetching a newer configuration.
func (f *Follower) runHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-f.early:
			f.sendHeartbeats(f.clients.Connected())
			continue
		case <-ticker.C:
		}
		f.sendHeartbeats(f.clients.Connected())
		f.mu.Lock()
		peers := f.refreshPeers()
		behind, addr := f.newerConfig()
		if behind {
			f.fetching = true
		}
		f.mu.Unlock()
		f.cfg.Reduce(peers)
		if behind {
			f.wg.Go(func() { f.fetchConfig(addr) })
		}
		f.updateConnections()
	}
}

// newerConfig reports whether a control host has a newer configuration, which an
// earlier attempt failed to fetch, and the address of that host. The caller holds mu.
func (f *Follower) newerConfig() (bool, netip.AddrPort) {
	if f.fetching {
		return false, netip.AddrPort{}
	}
	addrs := make([]netip.AddrPort, 0, len(f.notices))
	for addr := range f.notices {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int { return cmp.Compare(f.notices[b].Number, f.notices[a].Number) })
	for _, addr := range addrs {
		n := f.notices[addr]
		if f.offersConfig(&n.Notice) {
			return true, addr
		}
	}
	return false, netip.AddrPort{}
}

func (f *Follower) sendHeartbeats(addrs []netip.AddrPort) {
	for _, addr := range addrs {
		f.sendLoad(addr, fleet.RouterLoad{Host: f.cfg.Self})
	}
}
