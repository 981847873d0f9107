package diff

import "strings"

// The signs of lines.
const (
	SignRemoved = "-"
	SignAdded   = "+"
)

// Line is one line that differs.
type Line struct {
	Sign string
	// Number counts from 1, in the old text for removed lines, in the new for added ones.
	Number int
	Text   string
}

// Lines returns the lines of a shortest edit from one text to another.
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

// commonLengths returns the length of the longest common subsequence of every pair of
// tails of a and b.
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

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}
