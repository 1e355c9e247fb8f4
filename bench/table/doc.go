// Package table collects the measurements of several seeds and writes them as Markdown, CSV or an SVG plot.
package table
