// Package agent emulates the platform's workers and its host list over HTTP and JSON and can inject faults.
package agent
