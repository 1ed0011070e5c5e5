package admin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// ErrNoLines means that no log has a line about the request.
var ErrNoLines = errors.New("no log line about the request")

// explainCommand prints the log lines of several nodes about one request, in time order.
type explainCommand struct {
	Args struct {
		ID   string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Logs []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
	app *app
}

// logLine is a decoded line of a node's log.
type logLine struct {
	at     string
	node   string
	text   string
	number int
	fields map[string]any
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.readLogs(c.Args.ID, matchRequestID(c.Args.ID))
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Wrapf(ErrNoLines, "request %q; each node logs a bounded number of lines a second (event 800 counts the omitted lines)", c.Args.ID)
	}
	for _, fingerprint := range collectFingerprints(lines) {
		suspected, err := c.readLogs(fingerprint, matchFingerprint(fingerprint))
		if err != nil {
			return err
		}
		lines = append(lines, suspected...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	for _, l := range lines {
		c.app.print("%s", l)
	}
	return nil
}

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// readLogs returns the lines of all logs that contain word and satisfy matches.
func (c *explainCommand) readLogs(word string, matches func(fields map[string]any) bool) ([]logLine, error) {
	var lines []logLine
	for _, name := range c.Args.Logs {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		found, err := scanLog(word, matches, file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "log %q", name)
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

// matchRequestID matches the lines about the request with the id.
func matchRequestID(id string) func(map[string]any) bool {
	return func(fields map[string]any) bool { return fields["id"] == id }
}

// matchFingerprint matches the lines about upstream crashes and bans that list the
// fingerprint.
func matchFingerprint(fingerprint string) func(map[string]any) bool {
	return func(fields map[string]any) bool {
		list, _ := fields["fingerprints"].([]any)
		return slices.Contains(list, any(fingerprint))
	}
}

// collectFingerprints returns the request fingerprints in the lines. A fingerprint
// identifies equal requests, whatever their ids.
func collectFingerprints(lines []logLine) []string {
	seen := map[string]bool{}
	for _, l := range lines {
		if fingerprint, ok := l.fields["fingerprint"].(string); ok {
			seen[fingerprint] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// scanLog returns the lines that contain word and satisfy matches. It skips text before a
// line's JSON, such as a log collector's prefix.
func scanLog(word string, matches func(fields map[string]any) bool, r io.Reader) ([]logLine, error) {
	var found []logLine
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if !strings.Contains(s.Text(), word) {
			continue
		}
		_, text, ok := strings.Cut(s.Text(), "{")
		fields := map[string]any{}
		if !ok || json.Unmarshal([]byte("{"+text), &fields) != nil || !matches(fields) {
			continue
		}
		found = append(found, newLogLine(fields))
	}
	return found, s.Err()
}

func newLogLine(fields map[string]any) logLine {
	l := logLine{fields: fields}
	l.at, _ = fields["time"].(string)
	l.node, _ = fields["node"].(string)
	l.text, _ = fields["msg"].(string)
	if number, ok := fields["event"].(float64); ok {
		l.number = int(number)
	}
	for _, name := range []string{"time", "node", "msg", "event", "level", "id"} {
		delete(fields, name)
	}
	return l
}

// String formats the line as time, node, event and the event's fields.
func (l logLine) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var inputs []string
	for _, name := range names {
		if value := fmt.Sprint(l.fields[name]); value != "" && value != "<nil>" {
			inputs = append(inputs, name+"="+value)
		}
	}
	return fmt.Sprintf("%s  %-20s %d %s: %s", l.at, l.node, l.number, l.text, strings.Join(inputs, " "))
}
