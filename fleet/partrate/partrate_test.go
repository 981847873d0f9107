package partrate_test

import (
	"fmt"
	"time"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/partrate"
)

func ExampleRates() {
	r := partrate.New()
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.Add(now, fleet.PartWork{Part: 7, Tokens: 2000})
		r.Add(now, fleet.PartWork{Part: 8, Tokens: 100})
	}
	for _, p := range r.Hot(now, 10_000) {
		fmt.Printf("part %d: %.0f thousand tokens a second\n", p.Part, p.TokensPerSecond/1000)
	}
	fmt.Println(len(r.Hot(now.Add(10*time.Second), 10_000)), "parts are hot 10 s later")
	// Output:
	// part 7: 20 thousand tokens a second
	// 0 parts are hot 10 s later
}
