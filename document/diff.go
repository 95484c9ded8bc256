package document

import (
	"fmt"

	"github.com/pmezard/go-difflib/difflib"
)

const diffContextLines = 3

// Diff returns the unified diff between two documents, empty if they are equal.
func Diff(fromName, toName string, from, to []byte) (string, error) {
	out, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(from), B: splitLines(to), FromFile: fromName, ToFile: toName, Context: diffContextLines,
	})
	if err != nil {
		return "", fmt.Errorf("compare %s with %s: %w", fromName, toName, err)
	}
	return out, nil
}

func splitLines(body []byte) []string {
	if len(body) == 0 {
		return nil
	}
	return difflib.SplitLines(string(body))
}
