package figures_test

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fuchsiashed/fuchsiashed/bench/internal/figures"
)

func ExamplePrinter() {
	p := figures.NewPrinter(os.Stdout)
	p.Print("Ways.LvRiga.drafter.Utilisation", 0.98765, "ratio")
	p.PrintDuration("TakeOver.Gap", 2150*time.Millisecond)
	file := filepath.Join(os.TempDir(), "figures-example.json")
	defer os.Remove(file)
	if err := p.WriteFile(file, time.Unix(0, 0)); err != nil {
		panic(err)
	}
	reread := figures.NewPrinter(os.Stdout)
	if err := reread.ReadFile(file); err != nil {
		panic(err)
	}
	p.Print("Read", float64(len(reread.All())), "figures")
	// Output:
	// Ways.LvRiga.drafter.Utilisation 0.9877 ratio
	// TakeOver.Gap 2150 ms
	// Read 2 figures
}
