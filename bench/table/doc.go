// Package table collects measured values of several seeds and writes them as Markdown, CSV or an SVG plot.
package table
