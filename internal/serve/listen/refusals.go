package listen

import (
	"log/slog"

	"basilspan/internal/core/metric"
	"basilspan/internal/policy/intake"
)

// Counters of requests that are refused, and of connections that are closed for others, by the reason.
const (
	counterHead        = "intake.head"
	counterBody        = "intake.body"
	counterFraming     = "intake.framing"
	counterLate        = "intake.late"
	counterMemory      = "intake.memory"
	counterConnections = "intake.connections"
	counterUnread      = "intake.unread"
)

// RefusalRecorder returns a function for Bounds.OnRefuse that counts each refusal, and logs it with the name of the port.
func RefusalRecorder(metrics *metric.Set, log *slog.Logger, port string) func(intake.Reason) {
	counters := map[intake.Reason]string{
		intake.Head:        counterHead,
		intake.Body:        counterBody,
		intake.Framing:     counterFraming,
		intake.Late:        counterLate,
		intake.Memory:      counterMemory,
		intake.Connections: counterConnections,
		intake.Unread:      counterUnread,
	}
	return func(reason intake.Reason) {
		metrics.Add(counters[reason], 1)
		log.Warn("caller over its bounds", "port", port, "reason", reason)
	}
}
