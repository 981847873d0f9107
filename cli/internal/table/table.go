// Package table prints rows for people and for programs: aligned columns with a
// header on a terminal, tab-separated values without one elsewhere.
package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

// columnGap is the number of blanks between two columns.
const columnGap = 2

// Table collects rows.
type Table struct {
	io     *iostreams.IOStreams
	header []string
	rows   [][]string
}

// New makes a table with the given column names.
func New(io *iostreams.IOStreams, header ...string) *Table {
	return &Table{io: io, header: header}
}

// Row adds a row; each value is printed as by fmt.Print.
func (t *Table) Row(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(v))
	}
	t.rows = append(t.rows, row)
}

// Print prints the table.
func (t *Table) Print() error {
	if !t.io.IsTerminal() {
		for _, row := range t.rows {
			if _, err := fmt.Fprintln(t.io.Out, strings.Join(row, "\t")); err != nil {
				return errors.Wrap(err, "print table")
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(t.io.Out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "print table")
}

// JSON prints v as indented JSON.
func JSON(io *iostreams.IOStreams, v any) error {
	enc := json.NewEncoder(io.Out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "print JSON")
}
