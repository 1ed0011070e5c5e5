// Package logs writes numbered events with logrus.
//
// # Usage
//
//	log := logs.New(os.Stderr, "mill-st-1")
//	log.Log(event.TermWon, event.Field{Name: "epoch", Value: 3})
package logs

import (
	"io"

	"github.com/sirupsen/logrus"

	"wagtailyoke/core/event"
)

// Log writes events as JSON lines.
type Log struct {
	entry *logrus.Entry
}

// New returns a log of one node.
func New(out io.Writer, node string) *Log {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.JSONFormatter{})
	return &Log{entry: l.WithField("node", node)}
}

// Log implements event.Log.
func (l *Log) Log(n event.Number, fields ...event.Field) {
	entry := l.entry.WithField("event", int(n))
	for _, f := range fields {
		entry = entry.WithField(f.Name, f.Value)
	}
	if n >= event.InvariantBroken {
		entry.Error(event.Descriptions[n])
		return
	}
	entry.Info(event.Descriptions[n])
}
