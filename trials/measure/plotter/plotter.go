package plotter

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of each chart.
const (
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
)

// Line is a named line of a chart.
type Line struct {
	name   string
	points plotter.XYs
}

// NewLine returns an empty line.
func NewLine(name string) *Line { return &Line{name: name} }

// Add appends a point.
func (line *Line) Add(x, y float64) { line.points = append(line.points, plotter.XY{X: x, Y: y}) }

// Quantiles returns the line of a histogram of microseconds: the latency in milliseconds that one in x requests exceeds, over x.
func Quantiles(name string, histogram *hdrhistogram.Histogram) *Line {
	line := NewLine(name)
	for oneIn := 2.0; oneIn <= 10000; oneIn *= 1.25 {
		value := histogram.ValueAtQuantile(100 * (1 - 1/oneIn))
		line.Add(oneIn, float64(value)/float64(time.Millisecond/time.Microsecond))
	}
	return line
}

// Chart is a set of lines with common axes.
type Chart struct {
	name  string
	title string
	x, y  string
	logX  bool
	lines []*Line
}

// ChartConfig holds the fields of a Chart.
type ChartConfig struct {
	// Name is the name of the files without suffix.
	Name string
	// Title is shown above the chart.
	Title string
	// X and Y are the labels of the axes.
	X, Y string
	// LogX makes the horizontal axis logarithmic.
	LogX bool
	// Lines are drawn and listed in the legend in this order.
	Lines []*Line
}

// NewChart returns a chart with the given configuration.
func NewChart(config ChartConfig) Chart {
	return Chart{name: config.Name, title: config.Title, x: config.X, y: config.Y, logX: config.LogX, lines: config.Lines}
}

// Save writes the chart as PNG and SVG to the directory.
func (chart Chart) Save(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("create the folder for charts: %w", err)
	}
	canvas := plot.New()
	canvas.Title.Text = chart.title
	canvas.X.Label.Text = chart.x
	canvas.Y.Label.Text = chart.y
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	if chart.logX {
		canvas.X.Scale = plot.LogScale{}
		canvas.X.Tick.Marker = plot.LogTicks{}
	}
	for index, line := range chart.lines {
		curve, err := plotter.NewLine(line.points)
		if err != nil {
			return fmt.Errorf("add the line %s: %w", line.name, err)
		}
		curve.Color = plotutil.Color(index)
		curve.Dashes = plotutil.Dashes(index)
		canvas.Add(curve)
		canvas.Legend.Add(line.name, curve)
	}
	for _, suffix := range []string{".png", ".svg"} {
		path := filepath.Join(directory, chart.name+suffix)
		if err := canvas.Save(width, height, path); err != nil {
			return fmt.Errorf("write %s: %w", path, err)
		}
	}
	return nil
}
