// Package logs writes log lines without ever blocking the caller and with a bound on their volume.
package logs
