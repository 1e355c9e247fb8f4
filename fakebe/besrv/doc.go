// Package besrv emulates the backend servers of workers over HTTP and can inject faults.
package besrv
