package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/placement"
)

// TestRefusedCallsAreNotPaidFor guards against a customer at its share that loses credit for
// calls which were refused because all targets are busy, and gets less than its share later.
func TestRefusedCallsAreNotPaidFor(t *testing.T) {
	convey.Convey("A customer keeps the credit of calls that were refused as late", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 3)...)
		digest := func(waiting int) {
			d := fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "majori", Admitted: 0.5}}}
			for _, a := range announcements(drafterService, 3) {
				d.Targets = append(d.Targets, fleet.TargetLoad{Target: a.Target, Waiting: waiting})
			}
			f.apply(placement.DigestReceived{LoadDigest: d})
		}
		digest(1_000_000)
		late := 0
		for range 8 {
			if r, ok := f.ask("/plan/", prompt(1, 0)).(placement.Refuse); ok && r.Reason == fleet.ReasonExpectedLate {
				late++
			}
		}
		convey.So(late, convey.ShouldBeGreaterThanOrEqualTo, 4)
		f.now = f.now.Add(100 * time.Millisecond)
		digest(0)
		for i := range 4 {
			sendOf(f.ask("/plan/", prompt(placement.PartID(i+1), 0)))
		}
	})
}

// TestDigestIncludesOwnLoad guards against a router that takes its own load, which is part of
// the digest that all routers get, for that of others.
func TestDigestIncludesOwnLoad(t *testing.T) {
	convey.Convey("A router subtracts the load of its own report from the digest", t, func() {
		f := newFixture(t, "router-0", 2, announcements(drafterService, 1)...)
		target := announcements(drafterService, 1)[0].Target
		sendOf(f.ask("/plan/", prompt(1, 0)))
		own := f.apply(placement.ReportDue{}).(placement.Report)
		convey.So(own.Targets, convey.ShouldHaveLength, 1)
		sendOf(f.ask("/plan/", prompt(1, 0)))
		f.apply(placement.ReportDue{})
		total := fleet.TargetLoad{Target: target, Waiting: own.Targets[0].Waiting + 500, Running: own.Targets[0].Running + 3}
		digest := fleet.LoadDigest{Targets: []fleet.TargetLoad{total}}
		convey.Convey("that is part of it, not of a newer one", func() {
			f.apply(placement.DigestReceived{LoadDigest: digest, ReportIncluded: fleet.ReportIncluded{Sequence: own.Sequence}})
			convey.So(sendOf(f.ask("/plan/", prompt(1, 0))).Basis.Running, convey.ShouldEqual, 2+3)
		})
		convey.Convey("unless none is part of it", func() {
			f.apply(placement.DigestReceived{LoadDigest: digest})
			convey.So(sendOf(f.ask("/plan/", prompt(1, 0))).Basis.Running, convey.ShouldEqual, 2+4)
		})
	})
}

// TestSharesWithoutLeader guards against a customer that takes most of the capacity while no
// leader sends digests (terase-rtr-large scale-1, FAIR).
func TestSharesWithoutLeader(t *testing.T) {
	convey.Convey("A customer is limited to its share for some seconds after the last digest", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 9)...)
		f.apply(placement.DigestReceived{LoadDigest: fleet.LoadDigest{Shares: []fleet.CustomerShare{{Customer: "majori", Admitted: 0.2}}}})
		overShare := func() int {
			n := 0
			for i := range 20 {
				if r, ok := f.ask("/plan/", prompt(placement.PartID(i+1), 0)).(placement.Refuse); ok && r.Reason == fleet.ReasonCustomerShare {
					n++
				}
			}
			return n
		}
		f.now = f.now.Add(4 * time.Second)
		convey.So(overShare(), convey.ShouldBeGreaterThanOrEqualTo, 15)
		f.now = f.now.Add(2 * time.Second)
		convey.So(overShare(), convey.ShouldEqual, 0)
	})
}

// TestHopelessCallsOfLightCustomers guards against a call that waits for its deadline because its
// customer is light, though no target can answer it before.
func TestHopelessCallsOfLightCustomers(t *testing.T) {
	convey.Convey("A light customer's call is sent if it would be late, and refused if its deadline would pass", t, func() {
		f := newFixture(t, "router-0", 1, announcements(drafterService, 3)...)
		ask := func(waiting int) fleet.Effect {
			d := fleet.LoadDigest{Light: []fleet.CustomerName{"majori"}}
			for _, a := range announcements(drafterService, 3) {
				d.Targets = append(d.Targets, fleet.TargetLoad{Target: a.Target, Waiting: waiting})
			}
			f.apply(placement.DigestReceived{LoadDigest: d})
			return f.ask("/plan/", prompt(1, 0))
		}
		sendOf(ask(60_000))
		refused, ok := ask(1_000_000).(placement.Refuse)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(refused.Reason, convey.ShouldEqual, fleet.ReasonExpectedLate)
	})
}
