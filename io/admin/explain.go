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

// ErrNoLines means that no log holds a line on the request.
var ErrNoLines = errors.New("no line on the request")

// explainCommand prints what the logs of several nodes tell about one request.
type explainCommand struct {
	Args struct {
		ID   string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Logs []string `positional-arg-name:"LOG" required:"1"`
	} `positional-args:"yes"`
	app *app
}

// logLine is a line of a node's log.
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
		return errors.Wrapf(ErrNoLines, "request %q; each node logs a bounded number of lines a second (event 800 tells what was left out)", c.Args.ID)
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

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// readLogs returns the lines of all logs that hold a word and match.
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

// matchRequestID matches the lines on a request.
func matchRequestID(id string) func(map[string]any) bool {
	return func(fields map[string]any) bool { return fields["id"] == id }
}

// matchFingerprint matches the lines on ends of upstreams and on bans that name a request.
func matchFingerprint(fingerprint string) func(map[string]any) bool {
	return func(fields map[string]any) bool {
		list, _ := fields["fingerprints"].([]any)
		return slices.Contains(list, any(fingerprint))
	}
}

// collectFingerprints returns what tells the requests of lines from others, whatever their ids.
func collectFingerprints(lines []logLine) []string {
	seen := map[string]bool{}
	for _, l := range lines {
		if fingerprint, ok := l.fields["fingerprint"].(string); ok {
			seen[fingerprint] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// scanLog returns the lines that hold a word and match. Text before a line's JSON, such as a
// collector's prefix, is passed over.
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

// String shows time, node, event and the inputs that decided it.
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
