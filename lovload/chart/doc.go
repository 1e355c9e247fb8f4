// Package chart draws the timeline of an experiment as SVG.
package chart
