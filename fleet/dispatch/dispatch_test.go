package dispatch

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
)

func TestGrantWithinLimit(t *testing.T) {
	convey.Convey("A new target gets one request, and two after the first completed", t, func() {
		f := newFixture(Config{})
		f.target("t1", "drafter", "riga-a", 4)
		f.report("r2", fleet.RouterReport{Tickets: []fleet.Ticket{newTicket("a", "c00"), newTicket("b", "c01"), newTicket("c", "c02")}})
		first := f.grants()
		convey.So(len(first), convey.ShouldEqual, 1)
		convey.So(first[0].Ticket, convey.ShouldEqual, fleet.TicketID("a"))
		f.end("r2", first[0], fleet.OutcomeCompleted, 10)
		convey.So(len(f.grants()), convey.ShouldEqual, 2)
	})
}
