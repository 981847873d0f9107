package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

// reports returns the reports to one dispatcher among the effects of the last event.
func (b *bench) reports(to Peer) []fleet.RouterReport {
	var list []fleet.RouterReport
	for _, e := range b.last {
		if s, ok := e.(SendReport); ok && s.To == to {
			list = append(list, s.Report)
		}
	}
	return list
}

func TestPassiveDispatcher(t *testing.T) {
	convey.Convey("A passive dispatcher hears no details until the active one is silent", t, func() {
		b := &bench{r: New(Config{Host: "router-1", Incarnation: 7, DataCentre: "a", Dispatchers: testPeers}), now: testStart}
		b.do(ConfigConfirmed{Config: testConfig(1), NotAfter: b.now.Add(time.Hour)})
		b.do(DispatcherUp{Peer: testPeers[0]})
		b.do(DispatcherUp{Peer: testPeers[1]})
		b.grant()
		b.accept("r")
		convey.So(b.reports(testPeers[0])[0].Tickets, convey.ShouldHaveLength, 1)
		convey.So(b.reports(testPeers[1]), convey.ShouldBeEmpty)
		full := false
		for range 60 {
			b.pass(5 * time.Millisecond)
			for _, rep := range b.reports(testPeers[1]) {
				full = full || rep.Full && len(rep.Tickets) == 1
			}
		}
		b.pass(DispatcherTimeout)
		for _, rep := range b.reports(testPeers[1]) {
			full = full || rep.Full && len(rep.Tickets) == 1
		}
		convey.So(full, convey.ShouldBeTrue)
	})
	convey.Convey("A grant is used from the moment its report was sent, not from its arrival", t, func() {
		b := newBench()
		b.accept("r")
		m := b.message()
		m.Grants = []fleet.Grant{{ID: "g", Ticket: "r.1", Target: "t", Address: testAddress}}
		sent, _ := b.r.peers[0].sentAt(m.Ack)
		b.now = b.now.Add(300 * time.Millisecond)
		b.do(GrantsReceived{Peer: testPeers[0], Message: m})
		s, ok := found[StartSend](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(s.Until, convey.ShouldEqual, sent.Add(fleet.ShortenLease(time.Second)))
	})
	convey.Convey("A message of an older epoch changes nothing", t, func() {
		b := newBench()
		m := b.message()
		m.Epoch = 5
		b.do(GrantsReceived{Peer: testPeers[0], Message: m})
		b.accept("r")
		m = b.message()
		m.Epoch = 4
		m.Grants = []fleet.Grant{{ID: "g", Ticket: "r.1", Target: "t", Address: testAddress}}
		b.do(GrantsReceived{Peer: testPeers[0], Message: m})
		_, ok := found[StartSend](b)
		convey.So(ok, convey.ShouldBeFalse)
	})
}
