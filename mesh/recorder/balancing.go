package recorder

import (
	"github.com/uber-go/tally/v4"

	"lagoonlanding.example/lagoonlanding"
)

var _ lagoonlanding.MoveMeter = (*Recorder)(nil)

// Moved counts a planned move of stripes for load with its expected gain and loss, in milliseconds of all slots of the backend server.
func (recorder *Recorder) Moved(stripes int, gain, loss float64) {
	recorder.scope.Counter("moves").Inc(1)
	recorder.scope.Counter("moved_stripes").Inc(int64(stripes))
	recorder.scope.Counter("move_gain_milliseconds").Inc(int64(gain * 1000))
	recorder.scope.Counter("move_loss_milliseconds").Inc(int64(loss * 1000))
}

// Chose counts a choice of a backend server at the given distance.
func (recorder *Recorder) Chose(service, distance string) {
	recorder.scope.Tagged(map[string]string{"service": service, "distance": distance}).Counter("choices").Inc(1)
}

// Balance records the busiest over the mean load of the backend servers of a service, as last reported to this daemon.
func (recorder *Recorder) Balance(service string, ratio float64) {
	recorder.scope.Tagged(map[string]string{"service": service}).Histogram("balance_ratio", ratioBuckets).RecordValue(ratio)
}

// Crossed counts the bytes of a client's request between regions by cause.
func (recorder *Recorder) Crossed(cause string, bytes int64) {
	recorder.scope.Tagged(map[string]string{"cause": cause}).Counter("region_bytes").Inc(bytes)
}

// ratioBuckets include the targets, 1.3 in calm periods and 1.6 on heavy days.
var ratioBuckets = tally.ValueBuckets{1.1, 1.2, 1.3, 1.4, 1.6, 2, 2.5, 3, 5, 10}
