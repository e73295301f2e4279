package event

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// BenchmarkRecord measures the CPU time of recording an event as instances do: the event is added to the ring, formatted
// as a log line and passed to the background writer.
func BenchmarkRecord(b *testing.B) {
	writer := NewAsyncWriter(io.Discard)
	defer writer.Close()
	log := logrus.New()
	log.SetOutput(writer)
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
