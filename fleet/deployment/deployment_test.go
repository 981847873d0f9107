package deployment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/deployment"
)

func route(name, prefix string, shares ...deployment.WeightedService) deployment.Route {
	if len(shares) == 0 {
		shares = []deployment.WeightedService{{Service: "drafter", Weight: 1}}
	}
	return deployment.Route{
		Name: name, Host: "Permits.example", Prefix: prefix, Kind: deployment.KindStream,
		Split: shares, Timeout: time.Second, Attempts: 1,
	}
}

func configuration(routes ...deployment.Route) deployment.Configuration {
	return deployment.Configuration{
		Number: 1, Routes: routes, Services: []deployment.Service{{Name: "drafter"}, {Name: "desk"}},
		Customers: []deployment.Customer{{Name: "majori", Keys: []string{"key-1", "key-2"}}},
	}
}

func ExampleConfiguration_Match() {
	c, err := deployment.New(configuration(route("all", "/"), route("drafts", "/drafts/"), route("short", "/drafts/short/")))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, path := range []string{"/drafts/short/7", "/drafts/long/7", "/drafts", "/other/"} {
		r, ok := c.Match("permits.example", path)
		fmt.Println(path, ok, r.Name)
	}
	// Output:
	// /drafts/short/7 true short
	// /drafts/long/7 true drafts
	// /drafts true all
	// /other/ true all
}

func TestInvalidConfigurations(t *testing.T) {
	convey.Convey("New rejects an invalid configuration and names the reason", t, func() {
		noTimeout := route("r", "/r/")
		noTimeout.Timeout = 0
		noKind := route("r", "/r/")
		noKind.Kind = "Other"
		shared := configuration(route("r", "/r/"))
		shared.Customers = append(shared.Customers, deployment.Customer{Name: "jurmala", Keys: []string{"key-2"}})
		for reason, c := range map[string]deployment.Configuration{
			"does not exist":    configuration(route("r", "/r/", deployment.WeightedService{Service: "unknown", Weight: 1})),
			"belong to route":   configuration(route("r", "/r/"), route("s", "/r/")),
			"add up to 0":       configuration(route("r", "/r/", deployment.WeightedService{Service: "drafter"}, deployment.WeightedService{Service: "desk"})),
			"negative":          configuration(route("r", "/r/", deployment.WeightedService{Service: "drafter", Weight: -1}, deployment.WeightedService{Service: "desk", Weight: 3})),
			"timeout is":        configuration(noTimeout),
			"kind":              configuration(noKind),
			"share a key":       shared,
			"begin and end":     configuration(route("r", "/r")),
			"empty or stands":   {Services: []deployment.Service{{Name: "a"}, {Name: "a"}}},
			"weights add up to": configuration(deployment.Route{Name: "r", Host: "h", Prefix: "/", Kind: deployment.KindAtMostOnce, Timeout: 1}),
		} {
			_, err := deployment.New(c)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, reason)
		}
	})
}

func TestPick(t *testing.T) {
	convey.Convey("Services are selected in proportion to their weights", t, func() {
		c, err := deployment.New(configuration(route("r", "/r/", deployment.WeightedService{Service: "drafter", Weight: 90}, deployment.WeightedService{Service: "desk", Weight: 10})))
		convey.So(err, convey.ShouldBeNil)
		r, _ := c.Match("permits.example", "/r/")
		picked := map[fleet.ServiceName]int{}
		for random := range uint64(1000) {
			picked[r.PickService(random)]++
		}
		convey.So(picked["drafter"], convey.ShouldEqual, 900)
		convey.So(picked["desk"], convey.ShouldEqual, 100)
	})
}

func TestCustomers(t *testing.T) {
	convey.Convey("Each key of a customer identifies it", t, func() {
		c, err := deployment.New(configuration(route("r", "/r/")))
		convey.So(err, convey.ShouldBeNil)
		customer, ok := c.CustomerByKey("key-2")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(customer.Name, convey.ShouldEqual, fleet.CustomerName("majori"))
		_, ok = c.CustomerByKey("key-3")
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(c.NeedsKeys(), convey.ShouldBeTrue)
	})
}
