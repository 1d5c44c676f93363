// Package plotter draws charts of the results of experiments as PNG and SVG files.
package plotter
