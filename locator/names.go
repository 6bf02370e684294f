package locator

import (
	"slices"
	"strconv"
	"strings"
)

// bytesPerEdit is the length of a name, in bytes, for which Nearest allows one edit; longer
// names may differ by proportionally more.
const bytesPerEdit = 3

// Nearest returns the candidate with the smallest edit distance from the name, or an empty
// string if none is close enough to be a typing error. At least one edit is allowed. Names
// longer than maxShownCharacters bytes are not compared.
func Nearest(name string, candidates []string) string {
	best := ""
	allowed := max(1, len(name)/bytesPerEdit)
	if len(name) > maxShownCharacters {
		return best
	}
	for _, candidate := range candidates {
		distance := editDistance(name, candidate)
		if distance <= allowed {
			allowed = distance - 1
			best = candidate
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

func contains(list []string, text string) bool { return slices.Contains(list, text) }

func listNames(names []string) string {
	quoted := make([]string, 0, len(names))
	for _, name := range names {
		quoted = append(quoted, strconv.Quote(name))
	}
	return strings.Join(quoted, ", ")
}
