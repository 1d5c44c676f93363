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

// EncodeReport returns the JSON encoding of a report.
func EncodeReport(report lagoonlanding.UpstreamReport) ([]byte, error) {
	return json.Marshal(reportJSON{Ready: report.IsReady(), InFlight: report.InFlight(), Slots: report.Slots()})
}

// DecodeReport decodes and validates the JSON encoding of a report.
func DecodeReport(data []byte) (lagoonlanding.UpstreamReport, error) {
	var decoded reportJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("decode the report: %w", err)
	}
	if decoded.InFlight < 0 || decoded.Slots < 0 {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("decode the report: negative count: %d in flight of %d slots", decoded.InFlight, decoded.Slots)
	}
	return lagoonlanding.NewUpstreamReport(decoded.Ready, decoded.InFlight, decoded.Slots), nil
}

// Report requests the readiness and load of the backend server.
func (invoker *Invoker) Report(ctx context.Context) (lagoonlanding.UpstreamReport, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+invoker.config.Address+ReportPath, nil)
	if err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("create the request: %w", err)
	}
	response, err := invoker.client.Do(request)
	if err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("request the report of %s: %w", invoker.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("request the report of %s: status %d", invoker.config.Address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return lagoonlanding.UpstreamReport{}, fmt.Errorf("read the report of %s: %w", invoker.config.Address, err)
	}
	return DecodeReport(body)
}
