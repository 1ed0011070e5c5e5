package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/event"
)

func readLines(c *qt.C, r io.Reader) []map[string]any {
	var lines []map[string]any
	s := bufio.NewScanner(r)
	for s.Scan() {
		var line map[string]any
		c.Assert(json.Unmarshal(s.Bytes(), &line), qt.IsNil)
		lines = append(lines, line)
	}
	return lines
}

func TestLineBudgetPerEvent(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := New(&out, "n")
	at := time.Unix(100, 0)
	l.now = func() time.Time { return at }
	const offered = 3 * maxLinesPerSecond
	for range offered {
		l.Log(event.Refused)
	}
	at = at.Add(time.Second)
	l.Log(event.NodeStopped)
	l.Close()
	lines := readLines(c, &out)
	c.Assert(lines, qt.HasLen, maxLinesPerSecond+2)
	omitted := lines[maxLinesPerSecond]
	c.Assert(omitted["event"], qt.Equals, float64(event.LinesOmitted))
	c.Assert(omitted["of"], qt.Equals, float64(event.Refused))
	c.Assert(omitted["lines"], qt.Equals, float64(offered-maxLinesPerSecond))
}

func TestBlockedReaderDoesNotBlockCaller(t *testing.T) {
	c := qt.New(t)
	r, w, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer func() { _, _ = r.Close(), w.Close() }()
	l := New(w, "n")
	second := int64(0)
	l.now = func() time.Time { second++; return time.Unix(second, 0) }
	done := make(chan struct{})
	go func() {
		// Each line gets a new second, so that the limit per second does not apply.
		for range 20 * maxBufferedLines {
			l.Log(event.Refused, event.Field{Name: "id", Value: "0123456789abcdef"})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the log blocked its caller while its output was not read")
	}
}
