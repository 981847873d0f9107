// Package iostreams holds the standard streams of a program and the properties of the
// terminal that they are connected to.
package iostreams

import (
	"bytes"
	"io"
	"os"
	"strconv"
)

// DefaultWidth is the width of the output in columns if it is unknown.
const DefaultWidth = 80

// IOStreams holds the three streams of a program.
type IOStreams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer

	outIsTerminal bool
	color         bool
	width         int
}

// System returns the standard streams of the process. The width is taken from the variable
// COLUMNS; NO_COLOR disables colour.
func System() *IOStreams {
	s := &IOStreams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, width: DefaultWidth}
	if fi, err := os.Stdout.Stat(); err == nil {
		s.outIsTerminal = fi.Mode()&os.ModeCharDevice != 0
	}
	if n, err := strconv.Atoi(os.Getenv("COLUMNS")); err == nil && n > 0 {
		s.width = n
	}
	s.color = s.outIsTerminal && os.Getenv("NO_COLOR") == ""
	return s
}

// Test returns streams for tests, with the buffers of input, output and errors.
func Test() (s *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: in, Out: out, Err: errOut, width: DefaultWidth}, in, out, errOut
}

// SetTerminal sets whether Out is a terminal, whether it may be coloured, and its width in
// columns.
func (s *IOStreams) SetTerminal(isTerminal, color bool, width int) {
	s.outIsTerminal, s.color, s.width = isTerminal, color, width
}

// IsTerminal reports whether Out is a terminal.
func (s *IOStreams) IsTerminal() bool { return s.outIsTerminal }

// Color reports whether Out may be coloured.
func (s *IOStreams) Color() bool { return s.color }

// Width returns the width of Out in columns.
func (s *IOStreams) Width() int { return s.width }
