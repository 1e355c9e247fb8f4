// Package logs provides a non-blocking, rate-limited writer for log lines.
package logs
