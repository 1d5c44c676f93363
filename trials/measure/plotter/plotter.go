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

// The size of each drawing.
const (
	width  = 8 * vg.Inch
	height = 4 * vg.Inch
)

// Line is one named line of a drawing.
type Line struct {
	name   string
	points plotter.XYs
}

// NewLine returns an empty line.
func NewLine(name string) *Line { return &Line{name: name} }

// Add appends a point.
func (line *Line) Add(x, y float64) { line.points = append(line.points, plotter.XY{X: x, Y: y}) }

// Quantiles returns the line of a histogram of microseconds: milliseconds over the share of slower requests as 1 in so many.
func Quantiles(name string, histogram *hdrhistogram.Histogram) *Line {
	line := NewLine(name)
	for slower := 2.0; slower <= 10000; slower *= 1.25 {
		value := histogram.ValueAtQuantile(100 * (1 - 1/slower))
		line.Add(slower, float64(value)/float64(time.Millisecond/time.Microsecond))
	}
	return line
}

// Drawing is a set of lines over common axes.
type Drawing struct {
	name  string
	title string
	x, y  string
	logX  bool
	lines []*Line
}

// DrawingConfig describes a Drawing.
type DrawingConfig struct {
	// Name is the name of the files.
	Name string
	// Title stands above the drawing.
	Title string
	// X and Y are the labels of the axes.
	X, Y string
	// LogX says that the horizontal axis is logarithmic.
	LogX bool
	// Lines are the lines.
	Lines []*Line
}

// NewDrawing returns the drawing that the configuration describes.
func NewDrawing(config DrawingConfig) Drawing {
	return Drawing{name: config.Name, title: config.Title, x: config.X, y: config.Y, logX: config.LogX, lines: config.Lines}
}

// Save writes the drawing as PNG and SVG into the directory.
func (drawing Drawing) Save(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("making the folder for drawings: %w", err)
	}
	canvas := plot.New()
	canvas.Title.Text = drawing.title
	canvas.X.Label.Text = drawing.x
	canvas.Y.Label.Text = drawing.y
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	if drawing.logX {
		canvas.X.Scale = plot.LogScale{}
		canvas.X.Tick.Marker = plot.LogTicks{}
	}
	for index, line := range drawing.lines {
		drawn, err := plotter.NewLine(line.points)
		if err != nil {
			return fmt.Errorf("drawing the line %s: %w", line.name, err)
		}
		drawn.Color = plotutil.Color(index)
		drawn.Dashes = plotutil.Dashes(index)
		canvas.Add(drawn)
		canvas.Legend.Add(line.name, drawn)
	}
	for _, suffix := range []string{".png", ".svg"} {
		path := filepath.Join(directory, drawing.name+suffix)
		if err := canvas.Save(width, height, path); err != nil {
			return fmt.Errorf("writing %s: %w", path, err)
		}
	}
	return nil
}
