// Package plays runs days of fault injection on an external test bench for several seeds and summarizes or pairs the
// results. The bench is a program that is named on the command line.
package plays
