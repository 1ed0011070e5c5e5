package httpx_test

import (
	"os"
	"regexp"
	"sort"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/event"
	"wagtailyoke/core/invar"
	"wagtailyoke/io/httpx"
	"wagtailyoke/io/meter"
)

// firstColumn returns the code-formatted cells in the first columns of the tables under a
// heading of a page.
func firstColumn(c *qt.C, page, heading string) []string {
	text, err := os.ReadFile("../../docs/" + page)
	c.Assert(err, qt.IsNil)
	section := regexp.MustCompile(`(?s)## ` + heading + `\n(.*?)(\n## |\z)`).FindSubmatch(text)
	c.Assert(section, qt.HasLen, 3, qt.Commentf("no heading %q in %s", heading, page))
	var cells []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllSubmatch(section[1], -1) {
		cells = append(cells, string(m[1]))
	}
	sort.Strings(cells)
	return cells
}

// expectSameNames checks that the tables under a heading of a page list the names in code.
func expectSameNames(c *qt.C, page, heading string, code []string) {
	sort.Strings(code)
	c.Assert(firstColumn(c, page, heading), qt.DeepEquals, code)
}

func TestCataloguesMatchCode(t *testing.T) {
	c := qt.New(t)
	var events, refusals []string
	for n := range event.Descriptions {
		events = append(events, strconv.Itoa(int(n)))
	}
	for code := range httpx.Titles() {
		refusals = append(refusals, string(code))
	}
	expectSameNames(c, "events.md", "Events", events)
	expectSameNames(c, "events.md", "Invariants", append([]string(nil), invar.Names()...))
	expectSameNames(c, "metrics.md", "Reasons", refusals)
	expectSameNames(c, "metrics.md", "Counters", meter.Names())
}
