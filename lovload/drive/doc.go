// Package drive carries out an experiment against running processes with open-loop arrivals.
package drive
