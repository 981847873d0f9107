package diff

import "strings"

// The signs of lines in a diff.
const (
	SignRemoved = "-"
	SignAdded   = "+"
)

// Line is a removed or added line.
type Line struct {
	// Sign is SignRemoved or SignAdded.
	Sign string
	// Number is the line number, from 1, in the old text for a removed line and in the new
	// text for an added one.
	Number int
	Text   string
}

// Lines returns a shortest list of removed and added lines that turns one text into another.
func Lines(from, to string) []Line {
	a, b := split(from), split(to)
	common := commonLengths(a, b)
	var lines []Line
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			lines = append(lines, Line{Sign: SignRemoved, Number: i + 1, Text: a[i]})
			i++
		default:
			lines = append(lines, Line{Sign: SignAdded, Number: j + 1, Text: b[j]})
			j++
		}
	}
	return lines
}

// commonLengths returns a table whose element [i][j] is the length of the longest common
// subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	n := make([][]int, len(a)+1)
	n[len(a)] = make([]int, len(b)+1)
	for i := len(a) - 1; i >= 0; i-- {
		n[i] = make([]int, len(b)+1)
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				n[i][j] = n[i+1][j+1] + 1
			} else {
				n[i][j] = max(n[i+1][j], n[i][j+1])
			}
		}
	}
	return n
}

// split returns the lines of a text. An empty text has none.
func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
