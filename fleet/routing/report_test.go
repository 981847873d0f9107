package routing

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestPassiveDispatcher(t *testing.T) {
	convey.Convey("A passive dispatcher gets no tickets until the active one stops answering", t, func() {
		b := &fixture{r: New(Config{Host: "router-1", Incarnation: 7, DataCentre: "a", Dispatchers: testPeers}), now: testStart}
		b.reduce(ConfigConfirmed{Config: testConfig(1), NotAfter: b.now.Add(time.Hour)})
		b.reduce(DispatcherUp{Peer: testPeers[0]})
		b.reduce(DispatcherUp{Peer: testPeers[1]})
		b.sendGrants()
		b.accept("r")
		convey.So(b.reports(testPeers[0])[0].Tickets, convey.ShouldHaveLength, 1)
		convey.So(b.reports(testPeers[1]), convey.ShouldBeEmpty)
		full := false
		for range 60 {
			b.advance(5 * time.Millisecond)
			for _, rep := range b.reports(testPeers[1]) {
				full = full || rep.Full && len(rep.Tickets) == 1
			}
		}
		b.advance(DispatcherTimeout)
		for _, rep := range b.reports(testPeers[1]) {
			full = full || rep.Full && len(rep.Tickets) == 1
		}
		convey.So(full, convey.ShouldBeTrue)
	})
	convey.Convey("The validity of a grant counts from when the acknowledged report was sent", t, func() {
		b := newFixture()
		b.accept("r")
		m := b.grantsMessage()
		m.Grants = []fleet.Grant{{ID: "g", Ticket: "r.1", Target: "t", Address: testAddress}}
		sent, _ := b.r.peers[0].sentAt(m.Ack)
		b.now = b.now.Add(300 * time.Millisecond)
		b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
		s, ok := findEffect[StartSend](b)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(s.Until, convey.ShouldEqual, sent.Add(fleet.ShortenLease(time.Second)))
	})
	convey.Convey("A message of an older epoch is ignored", t, func() {
		b := newFixture()
		m := b.grantsMessage()
		m.Epoch = 5
		b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
		b.accept("r")
		m = b.grantsMessage()
		m.Epoch = 4
		m.Grants = []fleet.Grant{{ID: "g", Ticket: "r.1", Target: "t", Address: testAddress}}
		b.reduce(GrantsReceived{Peer: testPeers[0], Message: m})
		_, ok := findEffect[StartSend](b)
		convey.So(ok, convey.ShouldBeFalse)
	})
}
