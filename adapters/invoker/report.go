package invoker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"lagoonlanding.example/lagoonlanding"
)

const maxReportBytes = 4 << 10

type reportJSON struct {
	Ready    bool `json:"ready"`
	InFlight int  `json:"in-flight"`
	Slots    int  `json:"slots"`
}

// EncodeReport returns the JSON of a report.
func EncodeReport(report lagoonlanding.UpstreamReport) ([]byte, error) {
	return json.Marshal(reportJSON{Ready: report.IsReady(), InFlight: report.InFlight(), Slots: report.Slots()})
}

// DecodeReport returns the report of the JSON.
func DecodeReport(data []byte) (lagoonlanding.UpstreamReport, error) {
	var wire reportJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("decode a report: %w", err)
	}
	if wire.InFlight < 0 || wire.Slots < 0 {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("decode a report: %d in flight of %d slots", wire.InFlight, wire.Slots)
	}
	return lagoonlanding.NewUpstreamReport(wire.Ready, wire.InFlight, wire.Slots), nil
}

// Report asks for the load and the readiness.
func (invoker *Invoker) Report(ctx context.Context) (lagoonlanding.UpstreamReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+invoker.config.Address+ReportPath, nil)
	if err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("make the request: %w", err)
	}
	response, err := invoker.client.Do(request)
	if err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("ask %s for its report: %w", invoker.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("ask %s for its report: status %d", invoker.config.Address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("read the report of %s: %w", invoker.config.Address, err)
	}
	return DecodeReport(body)
}
