// Package logs writes numbered events as JSON lines with logrus. It never blocks its
// callers: lines go through a bounded buffer, and each event has a limit of lines per
// second. Dropped lines are counted, and the counts are logged.
//
// # Usage
//
//	log := logs.New(os.Stderr, "mill-st-1")
//	log.Log(event.TermWon, event.Field{Name: "epoch", Value: 3})
//	defer log.Close()
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wagtailyoke/core/event"
)

const (
	// maxBufferedLines bounds the lines that wait for a slow output.
	maxBufferedLines = 2048
	// maxLinesPerSecond is the limit of each event number.
	maxLinesPerSecond = 40
	// closeTimeout bounds how long Close waits for a slow output at process exit.
	closeTimeout = 200 * time.Millisecond
)

// Log writes events as JSON lines.
type Log struct {
	entry *logrus.Entry
	lines *lineWriter

	mu     sync.Mutex
	second int64
	counts map[event.Number]int
	now    func() time.Time
}

// New returns a log that writes the events of a node to out.
func New(out io.Writer, node string) *Log {
	lines := newLineWriter(out)
	l := logrus.New()
	l.SetOutput(lines)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return &Log{entry: l.WithField("node", node), lines: lines, counts: map[event.Number]int{}, now: time.Now}
}

// Log implements event.Log.
func (l *Log) Log(n event.Number, fields ...event.Field) {
	if !l.allow(n) {
		return
	}
	l.write(n, fields)
}

func (l *Log) write(n event.Number, fields []event.Field) {
	data := make(logrus.Fields, len(fields)+1)
	data["event"] = int(n)
	for _, f := range fields {
		data[f.Name] = f.Value
	}
	entry := l.entry.WithFields(data)
	if n >= event.InvariantBroken {
		entry.Error(event.Descriptions[n])
		return
	}
	entry.Info(event.Descriptions[n])
}

// allow reports whether the event is within its limit for this second, and counts it. The
// first event of a new second logs how many lines were omitted in the previous one.
func (l *Log) allow(n event.Number) bool {
	second := l.now().Unix()
	l.mu.Lock()
	var previous map[event.Number]int
	if second != l.second {
		previous, l.counts, l.second = l.counts, map[event.Number]int{}, second
	}
	l.counts[n]++
	ok := l.counts[n] <= maxLinesPerSecond
	l.mu.Unlock()
	dropped := l.lines.takeDropped()
	if dropped > 0 {
		l.write(event.LinesLost, []event.Field{{Name: "lines", Value: dropped}})
	}
	for number, count := range previous {
		if count > maxLinesPerSecond {
			l.write(event.LinesOmitted, []event.Field{{Name: "of", Value: int(number)}, {Name: "lines", Value: count - maxLinesPerSecond}})
		}
	}
	return ok
}

// Close writes the buffered lines and waits at most closeTimeout for them.
func (l *Log) Close() { l.lines.close() }

// lineWriter queues lines for a goroutine that writes them.
type lineWriter struct {
	queue chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{queue: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.queue {
			// There is nowhere to report that the log cannot be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer. It drops the line if the buffer is full.
func (w *lineWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.queue <- line:
	default:
		w.dropped++
	}
	return len(p), nil
}

// takeDropped returns the number of dropped lines and resets it.
func (w *lineWriter) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := w.dropped
	w.dropped = 0
	return lost
}

func (w *lineWriter) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
