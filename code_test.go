package bluebelldoor_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"

	"bluebelldoor"
)

// TestCodesTable checks that docs/CODES.md lists exactly the codes of code.go.
func TestCodesTable(t *testing.T) {
	text, err := os.ReadFile("docs/CODES.md")
	assert.NilError(t, err)
	rows := regexp.MustCompile(`(?m)^\| \d+ \|.*$`).FindAllString(string(text), -1)
	documented := map[string]bool{}
	for _, row := range rows {
		documented[row] = true
	}
	codes := bluebelldoor.Codes()
	assert.Equal(t, len(rows), len(codes))
	for code, info := range codes {
		row := fmt.Sprintf("| %d | `%s` | %d | %s |", int(code), info.Name, info.Status, info.Text)
		assert.Check(t, documented[row], "missing in docs/CODES.md: %s", row)
	}
}
