package routing

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/eventlog"
)

func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		var log bytes.Buffer
		m.log = eventlog.NewWriter(&log)
		m.reduce(ConfigConfirmed{Config: testConfig(1), NotAfter: m.now.Add(time.Minute)})
		m.reduce(DispatcherUp{Peer: testPeers[0]})
		m.sendGrants()
		for range 60 {
			m.step()
		}
		replayed := New(m.r.cfg)
		n := 0
		err := eventlog.ForEach(&log, Decode, func(now time.Time, ev fleet.Event) error {
			effects := replayed.Reduce(now, ev)
			if got, want := encode(effects), m.effects[n]; got != want {
				t.Fatalf("event %d %s has different effects in the replay:\n%s\n%s", n, ev.EventName(), got, want)
			}
			n++
			return nil
		})
		if err != nil || n != len(m.effects) {
			t.Fatalf("replayed %d of %d events: %v", n, len(m.effects), err)
		}
	})
}

func TestDecodeRefusesUnknownEvents(t *testing.T) {
	convey.Convey("An event of another reducer is refused", t, func() {
		_, err := Decode("LeaseHeld", nil)
		convey.So(err, convey.ShouldNotBeNil)
		ev, err := Decode("Tick", []byte("{}"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(reflect.DeepEqual(ev, Tick{}), convey.ShouldBeTrue)
	})
}
