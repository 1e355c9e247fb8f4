// Package daemon wires the entry daemon with uber/fx and carries it through start, readiness and drain.
package daemon
