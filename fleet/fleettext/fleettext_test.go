package fleettext_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/fuchsiashed/fuchsiashed/fleet/fleettext"
)

const valid = `
[Fleet]
Region = lv-riga
[DataCentre riga-a]
[Service drafter]
Protocol = Model
DependsOn = permit-desk
MaxCost = 4000
[Service permit-desk]
Protocol = Plain
Idempotent = GET /status/*, GET /fees
MaxCost = 5000
[Customer riga-centrs]
Weight = 2
KeyHash = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef
`

func ExampleParse() {
	f, err := fleettext.Parse("fleet.ini", valid)
	fmt.Println(err, f.Region, f.Services["drafter"].DependsOn, f.Customers["riga-centrs"].Weight)
	_, err = fleettext.Parse("fleet.ini", strings.Replace(valid, "Weight", "Wait", 1))
	fmt.Println(err)
	// Output:
	// <nil> lv-riga [permit-desk] 2
	// fleet.ini: section "Customer riga-centrs" key "Wait": key is unknown; allowed: KeyHash, Weight
}

func TestParseRefuses(t *testing.T) {
	tests := []struct{ name, old, replacement, want string }{
		{"missing key", "MaxCost = 4000", "", `section "Service drafter" key "MaxCost": key is missing`},
		{"unknown section", "[Fleet]", "[Fleeet]", `section "Fleeet": section is unknown`},
		{"bad value", "Weight = 2", "Weight = 0", "value 0 is out of bounds; allowed: a whole number from 1 to 1000"},
		{"unknown dependency", "DependsOn = permit-desk", "DependsOn = nobody", "service nobody does not exist"},
		{"cycle", "Protocol = Plain", "Protocol = Plain\nDependsOn = drafter", "cycle: drafter -> permit-desk -> drafter"},
		{"protocol", "Protocol = Plain", "Protocol = Soap", "allowed: Model, Plain"},
		{"pattern", "GET /fees", "fees", "pattern fees is malformed"},
		{"short hash", "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "00", "value is not a hash"},
		{"key twice", "Weight = 2", "Weight = 2\nWeight = 3", "key stands twice"},
		{"section twice", "[DataCentre riga-a]", "[DataCentre riga-a]\n[DataCentre riga-a]", "section stands twice"},
	}
	for _, tt := range tests {
		convey.Convey(tt.name, t, func() {
			_, err := fleettext.Parse("fleet.ini", strings.Replace(valid, tt.old, tt.replacement, 1))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(err.Error(), convey.ShouldContainSubstring, tt.want)
		})
	}
}

func TestIsIdempotent(t *testing.T) {
	f, err := fleettext.Parse("fleet.ini", valid)
	convey.Convey("Only calls that match a pattern are idempotent", t, func() {
		convey.So(err, convey.ShouldBeNil)
		s := f.Services["permit-desk"]
		convey.So(fleettext.IsIdempotent(s, "GET", "/status/7"), convey.ShouldBeTrue)
		convey.So(fleettext.IsIdempotent(s, "GET", "/fees"), convey.ShouldBeTrue)
		convey.So(fleettext.IsIdempotent(s, "POST", "/fees"), convey.ShouldBeFalse)
		convey.So(fleettext.IsIdempotent(s, "GET", "/fees/7"), convey.ShouldBeFalse)
	})
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := fleettext.Parse("fleet.ini", text)
		if err == nil && (len(parsed.Services) == 0 || len(parsed.Customers) == 0) {
			t.Fatalf("accepted a fleet without services or customers: %q", text)
		}
	})
}
