package membership

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// row formats a rule as a table row of docs/MEMBERSHIP.md.
func row(r Rule) string {
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s |", r.Subject, r.One, r.Other, r.Holds, r.Why, r.Package)
}

func TestDocsShowTheRules(t *testing.T) {
	doc, err := os.ReadFile("../../docs/MEMBERSHIP.md")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, r := range Rules {
		want = append(want, row(r))
	}
	if !strings.Contains(string(doc), strings.Join(want, "\n")) {
		t.Errorf("docs/MEMBERSHIP.md must hold these rows:\n%s", strings.Join(want, "\n"))
	}
}
