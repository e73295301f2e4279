package event

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkLine measures the processor time of one line of the log, as instances write it: an event is recorded, formatted
// and handed to the writer in the background.
func BenchmarkLine(b *testing.B) {
	lines := NewAsyncWriter(io.Discard)
	defer lines.Close()
	log := logrus.New()
	log.SetOutput(lines)
	log.SetFormatter(&logrus.JSONFormatter{})
	r := NewRecorder("front-almaty-a-1", log)
	e := Event{
		Code: RequestPlaced, Request: "9c41d07be2a35f68", Account: "bole240", Server: "i-9e16b79e8c",
		Detail: "prefill at i-f4313c1eac in 146ms, by front-almaty-c-1 after 0s, memory 1550 of 2156 pieces, 6 streams",
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(e)
	}
}
