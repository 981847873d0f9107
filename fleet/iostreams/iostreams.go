// Package iostreams bundles the input and output of a program and what is known
// about the terminal behind them.
package iostreams

import (
	"bytes"
	"io"
	"os"
	"strconv"
)

// DefaultWidth is the assumed width of a terminal in columns.
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

// System returns the streams of the process.
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

// Test returns streams backed by buffers: input, output and errors.
func Test() (s *IOStreams, in, out, errOut *bytes.Buffer) {
	in, out, errOut = &bytes.Buffer{}, &bytes.Buffer{}, &bytes.Buffer{}
	return &IOStreams{In: in, Out: out, Err: errOut, width: DefaultWidth}, in, out, errOut
}

// SetTerminal sets whether Out is a terminal of the given width with colour.
func (s *IOStreams) SetTerminal(is, color bool, width int) {
	s.outIsTerminal, s.color, s.width = is, color, width
}

// IsTerminal says whether Out is a terminal.
func (s *IOStreams) IsTerminal() bool { return s.outIsTerminal }

// Color says whether Out may be coloured.
func (s *IOStreams) Color() bool { return s.color }

// Width returns the width of Out in columns.
func (s *IOStreams) Width() int { return s.width }
