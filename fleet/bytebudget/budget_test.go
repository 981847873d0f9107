package bytebudget_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/bytebudget"
)

const (
	total    = 16 << 20
	maxBody  = 4 << 20
	piece    = 64 << 10
	ordinary = 20 << 10
)

var start = time.Unix(1_700_000_000, 0)

// owner returns an owner with an address of its own.
func owner(customer string, n int) bytebudget.Owner {
	return bytebudget.Owner{Customer: fleet.CustomerName(customer), Address: netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})}
}

// upload is a request that is being read.
type upload struct {
	*bytebudget.Hold
	ended bool
}

func open(b *bytebudget.Budget, now time.Time, o bytebudget.Owner) *upload {
	u := &upload{}
	u.Hold = b.Open(now, o, func(bytebudget.Phase) { u.ended = true })
	return u
}

// read reads n bytes in pieces, until the budget refuses more.
func (u *upload) read(now time.Time, n int64) error {
	for ; n > 0; n -= piece {
		if err := u.Grow(now, min(n, piece)); err != nil {
			return err
		}
		u.Progress(now, min(n, piece))
	}
	return nil
}

// closeEnded closes the requests that were ended, as their handlers do.
func closeEnded(uploads []*upload) {
	for _, u := range uploads {
		if u.Cause() != nil {
			u.Close()
		}
	}
}

// TestCrowdOfStalledBodies guards against requests that fill the memory by sending all but the end of a
// large body (callers that exceed limits).
func TestCrowdOfStalledBodies(t *testing.T) {
	for _, addresses := range []int{1, 400} {
		convey.Convey(fmt.Sprintf("A crowd of %d addresses holds no more than the budget, and others are admitted beside it", addresses), t, func() {
			b := bytebudget.New(bytebudget.Config{Total: total})
			var crowd []*upload
			for i := range 400 {
				u := open(b, start, owner("", i%addresses))
				_ = u.read(start.Add(time.Duration(i)*time.Millisecond), maxBody-piece)
				crowd = append(crowd, u)
				closeEnded(crowd)
			}
			convey.So(b.Status().Held, convey.ShouldBeLessThanOrEqualTo, total)
			now := start.Add(2 * time.Second)
			for i := range 50 {
				convey.So(open(b, now, owner("", 1000+i)).read(now, ordinary), convey.ShouldBeNil)
			}
			// A large body that goes on is not given up for those that are stalled.
			u := open(b, now, owner("", 2000))
			for range maxBody / piece {
				now = now.Add(20 * time.Millisecond)
				convey.So(u.read(now, piece), convey.ShouldBeNil)
				closeEnded(crowd)
			}
			convey.So(u.Enter(now, bytebudget.Sent), convey.ShouldBeNil)
		})
	}
}

func TestWhoIsEndedFirst(t *testing.T) {
	convey.Convey("The slowest of equal holders is ended first", t, func() {
		b := bytebudget.New(bytebudget.Config{Total: total})
		slow := open(b, start, owner("", 1))
		convey.So(slow.read(start.Add(time.Second), 2<<20), convey.ShouldBeNil)
		quick := open(b, start.Add(900*time.Millisecond), owner("", 2))
		convey.So(quick.read(start.Add(time.Second), 2<<20), convey.ShouldBeNil)
		var last *upload
		for i := 0; !slow.ended; i++ {
			convey.So(i, convey.ShouldBeLessThan, 10)
			last = open(b, start.Add(time.Second), owner("", 3+i))
			convey.So(last.read(start.Add(time.Second), 2<<20), convey.ShouldBeNil)
		}
		convey.So(quick.ended, convey.ShouldBeFalse)
		convey.So(slow.Cause().Reason, convey.ShouldEqual, bytebudget.Slow)
	})
	convey.Convey("One that is stalled is ended before a slower one that goes on", t, func() {
		b := bytebudget.New(bytebudget.Config{Total: total})
		stalled, slow := open(b, start, owner("", 1)), open(b, start, owner("", 2))
		convey.So(stalled.read(start, 3<<20), convey.ShouldBeNil)
		now := start.Add(2 * time.Second)
		convey.So(slow.read(now, 1<<20), convey.ShouldBeNil)
		for i := 0; !stalled.ended; i++ {
			convey.So(i, convey.ShouldBeLessThan, 10)
			convey.So(open(b, now, owner("", 3+i)).read(now, 2<<20), convey.ShouldBeNil)
		}
		convey.So(slow.ended, convey.ShouldBeFalse)
		convey.So(stalled.Cause().Reason, convey.ShouldEqual, bytebudget.Stalled)
	})
	convey.Convey("A response that goes on is not ended for a request", t, func() {
		b := bytebudget.New(bytebudget.Config{Total: total})
		answering := open(b, start, owner("", 1))
		convey.So(answering.read(start, 10<<20), convey.ShouldBeNil)
		convey.So(answering.Enter(start, bytebudget.Answering), convey.ShouldBeNil)
		u := open(b, start, owner("", 2))
		convey.So(u.read(start, 3<<20), convey.ShouldNotBeNil)
		convey.So(u.Cause(), convey.ShouldNotBeNil)
		convey.So(answering.ended, convey.ShouldBeFalse)
	})
	for _, by := range []string{"customer", "address"} {
		convey.Convey("A "+by+" that holds much gives way before one that holds little, even if it is quicker", t, func() {
			b := bytebudget.New(bytebudget.Config{Total: total})
			whose := func(i int) bytebudget.Owner {
				if by == "customer" {
					return owner("large", i)
				}
				return owner("", 1)
			}
			little := open(b, start, owner("little", 1000))
			convey.So(little.read(start.Add(500*time.Millisecond), 1<<20), convey.ShouldBeNil)
			now := start.Add(600 * time.Millisecond)
			var much []*upload
			ended := 0
			for i := range 40 {
				u := open(b, now, whose(i))
				_ = u.read(now, 1<<20)
				much = append(much, u)
			}
			for _, u := range much {
				if u.Cause() != nil {
					ended++
				}
			}
			convey.So(ended, convey.ShouldBeGreaterThan, 20)
			convey.So(little.Cause(), convey.ShouldBeNil)
		})
	}
	convey.Convey("Requests that were sent, and responses that go on, are not ended; a response that nobody reads is", t, func() {
		b := bytebudget.New(bytebudget.Config{Total: total})
		sent, answering, unread := open(b, start, owner("", 1)), open(b, start, owner("", 1)), open(b, start, owner("", 1))
		for _, u := range []*upload{sent, answering, unread} {
			convey.So(u.read(start, 3<<20), convey.ShouldBeNil)
		}
		now := start.Add(2 * time.Second)
		convey.So(sent.Enter(start, bytebudget.Sent), convey.ShouldBeNil)
		convey.So(answering.Enter(start, bytebudget.Answering), convey.ShouldBeNil)
		convey.So(unread.Enter(start, bytebudget.Answering), convey.ShouldBeNil)
		answering.Progress(now, 1000)
		for i := range 20 {
			_ = open(b, now, owner("", 10+i)).read(now, 3<<20)
		}
		convey.So([]bool{sent.ended, answering.ended, unread.ended}, convey.ShouldResemble, []bool{false, false, true})
	})
}

// Guards against a request that is refused as not run and reaches a target, and against an end that
// reaches the next request on the connection.
func TestEndedHold(t *testing.T) {
	convey.Convey("An ended hold can't be sent, and a closed one is not ended", t, func() {
		b := bytebudget.New(bytebudget.Config{Total: total})
		stalled, closed := open(b, start, owner("", 1)), open(b, start, owner("", 1))
		convey.So(stalled.read(start, 3<<20), convey.ShouldBeNil)
		convey.So(closed.read(start, 3<<20), convey.ShouldBeNil)
		closed.Close()
		now := start.Add(5 * time.Second)
		for i := range 20 {
			_ = open(b, now, owner("", 10+i)).read(now, 3<<20)
		}
		convey.So(closed.ended, convey.ShouldBeFalse)
		convey.So(errors.Is(stalled.Enter(now, bytebudget.Sent), bytebudget.ErrEnded), convey.ShouldBeTrue)
		convey.So(errors.Is(stalled.Grow(now, 1), bytebudget.ErrEnded), convey.ShouldBeTrue)
	})
	convey.Convey("Without a limit nothing is refused", t, func() {
		u := open(bytebudget.New(bytebudget.Config{}), start, owner("", 1))
		convey.So(u.read(start, 1<<30), convey.ShouldBeNil)
		convey.So(u.Enter(start, bytebudget.Sent), convey.ShouldBeNil)
		u.Close()
	})
}

// Guards against a large request that makes progress and is refused while the memory of others is being
// freed for it.
func TestWaitForEndedHolds(t *testing.T) {
	convey.Convey("A large hold waits for those that were ended, and then continues", t, func() {
		b := bytebudget.New(bytebudget.Config{Total: total})
		var stalled []*upload
		for i := range 3 {
			stalled = append(stalled, open(b, start, owner("", i)))
			convey.So(stalled[i].read(start, 3<<20), convey.ShouldBeNil)
		}
		now := start.Add(2 * time.Second)
		u := open(b, now, owner("", 10))
		err := error(nil)
		for err == nil {
			err = u.read(now, piece)
		}
		convey.So(errors.Is(err, bytebudget.ErrWait), convey.ShouldBeTrue)
		convey.So(u.Cause(), convey.ShouldBeNil)
		closeEnded(stalled)
		convey.So(u.read(now, piece), convey.ShouldBeNil)
	})
}

// Guards against bytes that are never released, and against a sum above the budget.
func TestRandomHolds(t *testing.T) {
	convey.Convey("The sum stays within the budget, and is 0 once all holds are closed", t, func() {
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			b := bytebudget.New(bytebudget.Config{Total: 1 << 20})
			now := start
			var holds []*upload
			for range 300 {
				now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
				if len(holds) == 0 || rnd.IntN(4) == 0 {
					holds = append(holds, open(b, now, owner([]string{"", "a", "b"}[rnd.IntN(3)], rnd.IntN(3))))
				}
				i := rnd.IntN(len(holds))
				switch h := holds[i]; rnd.IntN(6) {
				case 0:
					h.Close()
					h.Close()
					holds = append(holds[:i], holds[i+1:]...)
				case 1:
					h.Shrink(int64(rnd.IntN(100_000)))
				case 2:
					_ = h.Enter(now, bytebudget.Phase(rnd.IntN(3)))
				case 3:
					_ = h.TryGrow(now, int64(rnd.IntN(200_000)))
				default:
					_ = h.Grow(now, int64(rnd.IntN(200_000)))
					h.Progress(now, int64(rnd.IntN(200_000)))
				}
				s := b.Status()
				if s.Held > s.Total || s.Ending > s.Held || s.Ending < 0 || s.Holds != len(holds) {
					t.Fatalf("seed %d: %+v with %d holds", seed, s, len(holds))
				}
			}
			for _, h := range holds {
				h.Close()
			}
			if s := b.Status(); s.Held != 0 || s.Ending != 0 || s.Holds != 0 {
				t.Fatalf("seed %d: %+v after all holds were closed", seed, s)
			}
		}
	})
}
