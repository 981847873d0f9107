// Package table prints tables. On a terminal, the columns are aligned and have a header;
// otherwise, the output is tab-separated values without a header, for use by programs.
package table

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/fuchsiashed/fuchsiashed/fleet/iostreams"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table collects the rows to print.
type Table struct {
	io     *iostreams.IOStreams
	header []string
	rows   [][]string
}

// New returns an empty table with the given column names.
func New(io *iostreams.IOStreams, header ...string) *Table {
	return &Table{io: io, header: header}
}

// Row adds a row. Each value is formatted as by fmt.Print; tabs and line ends in it become
// spaces.
func (t *Table) Row(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(v))
	}
	t.rows = append(t.rows, row)
}

// Print prints the table to the output of its streams.
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
