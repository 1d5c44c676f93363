// Package plotter draws the results of experiments as PNG and SVG files.
package plotter
