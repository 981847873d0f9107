// Package figures prints measured figures, one a line, and writes them as JSON.
package figures

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
}

// Printer prints each figure at once and collects all of them for WriteFile. It is not safe
// for concurrent use.
type Printer struct {
	w       io.Writer
	figures []Figure
}

// NewPrinter returns a Printer that prints to w.
func NewPrinter(w io.Writer) *Printer { return &Printer{w: w} }

// Print prints one figure as the line "name value unit". The value has four significant
// digits unless it is whole.
func (p *Printer) Print(name string, value float64, unit string) {
	p.figures = append(p.figures, Figure{Name: name, Value: value, Unit: unit})
	fmt.Fprintf(p.w, "%s %s %s\n", name, formatValue(value), unit)
}

// PrintDuration prints a duration as a figure in milliseconds.
func (p *Printer) PrintDuration(name string, d time.Duration) {
	p.Print(name, float64(d)/float64(time.Millisecond), "ms")
}

// All returns the figures printed and read so far.
func (p *Printer) All() []Figure { return p.figures }

// document is the JSON document that WriteFile writes.
type document struct {
	At      time.Time
	Figures []Figure
}

// WriteFile writes all figures, and the time at which they were taken, to a file as JSON.
func (p *Printer) WriteFile(name string, at time.Time) error {
	raw, err := json.MarshalIndent(document{At: at, Figures: p.figures}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode figures")
	}
	return errors.Wrap(os.WriteFile(name, append(raw, '\n'), 0o644), "write figures")
}

// ReadFile adds the figures of a file that WriteFile wrote, without printing them.
func (p *Printer) ReadFile(name string) error {
	raw, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read figures")
	}
	var doc document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return errors.Wrapf(err, "decode figures of %s", name)
	}
	p.figures = append(p.figures, doc.Figures...)
	return nil
}

// formatValue formats whole numbers without a decimal point and others with four
// significant digits.
func formatValue(v float64) string {
	if v == float64(int64(v)) {
		return strconv.FormatInt(int64(v), 10)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
