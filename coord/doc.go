// Package coord is the root of the lovagefork coordination library; its parts are in the packages below it.
package coord
